import re
from pathlib import Path

import pytest

from cartdeal.fleet import errors

PAGE = Path(__file__).parents[2] / "docs" / "fleet.md"
# Every type that the module has, in the order in which they stand there: one that is added is never missed.
ERROR_TYPES = tuple(
    value
    for value in vars(errors).values()
    if isinstance(value, type) and issubclass(value, errors.FleetError) and value is not errors.FleetError
)


@pytest.mark.parametrize("error_type", ERROR_TYPES, ids=lambda error_type: error_type.__name__)
def test_each_error_says_what_an_operator_can_do(error_type):
    assert error_type.remedy
    assert error_type.__doc__
    assert "\n" not in error_type.__doc__.strip()
    error = error_type("the clock of b", "x" * 1000)
    assert (error.subject, len(error.observed), error.remedy) == ("the clock of b", 200, error_type.remedy)
    assert error_type("a file", remedy="mend it").remedy == "mend it"
    assert "the clock of b" in str(error)


def test_the_table_has_every_type_in_the_order_of_the_page():
    named = re.findall(r"^class (\w+)\((?!Exception)", Path(errors.__file__).read_text(), re.MULTILINE)
    assert [error_type.__name__ for error_type in ERROR_TYPES] == named
    assert len(set(named)) == len(named) >= 5


@pytest.mark.skipif(not PAGE.exists(), reason="no page for operators yet")
def test_the_page_for_operators_names_each_error():
    page = PAGE.read_text()
    assert [error_type.__name__ for error_type in ERROR_TYPES if f"`{error_type.__name__}`" not in page] == []
