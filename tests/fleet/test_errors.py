import re
from pathlib import Path

import pytest

from cartdeal.fleet import errors

PAGE = Path(__file__).parents[2] / "docs" / "fleet.md"
# Collected from the module in the order of definition, so that an added type is always tested.
ERROR_TYPES = tuple(
    value
    for value in vars(errors).values()
    if isinstance(value, type) and issubclass(value, errors.FleetError) and value is not errors.FleetError
)


@pytest.mark.parametrize("error_type", ERROR_TYPES, ids=lambda error_type: error_type.__name__)
def test_each_error_has_a_remedy_and_a_one_line_docstring(error_type):
    assert error_type.remedy
    assert error_type.__doc__
    assert "\n" not in error_type.__doc__.strip()
    error = error_type("the clock of b", "x" * 1000)
    assert (error.subject, len(error.observed), error.remedy) == ("the clock of b", 200, error_type.remedy)
    assert error_type("a file", remedy="mend it").remedy == "mend it"
    assert "the clock of b" in str(error)


def test_error_types_are_all_types_in_order_of_definition():
    defined_names = re.findall(
        r"^class (\w+)\((?!Exception)", Path(errors.__file__).read_text(), re.MULTILINE
    )
    assert [error_type.__name__ for error_type in ERROR_TYPES] == defined_names
    assert len(set(defined_names)) == len(defined_names) >= 5


@pytest.mark.skipif(not PAGE.exists(), reason="docs/fleet.md is not in this source tree")
def test_operators_page_names_each_error():
    page = PAGE.read_text()
    assert [error_type.__name__ for error_type in ERROR_TYPES if f"`{error_type.__name__}`" not in page] == []
