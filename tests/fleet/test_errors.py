import re
from pathlib import Path

import pytest

from cartdeal.fleet import errors

PAGE = Path(__file__).parents[2] / "docs" / "fleet.md"


@pytest.mark.parametrize("each", errors.ALL, ids=lambda each: each.__name__)
def test_each_error_says_what_an_operator_can_do(each):
    assert each.remedy and each.__doc__ and "\n" not in each.__doc__.strip()
    error = each("the clock of b", "x" * 1000)
    assert (error.subject, len(error.observed), error.remedy) == ("the clock of b", 200, each.remedy)
    assert each("a file", remedy="mend it").remedy == "mend it" and "the clock of b" in str(error)


def test_the_table_has_every_type_in_the_order_of_the_page():
    named = re.findall(r"^class (\w+)\((?!Exception)", Path(errors.__file__).read_text(), re.MULTILINE)
    assert [each.__name__ for each in errors.ALL] == named and len(set(named)) == len(named) >= 5


@pytest.mark.skipif(not PAGE.exists(), reason="no page for operators yet")
def test_the_page_for_operators_names_each_error():
    page = PAGE.read_text()
    assert [each.__name__ for each in errors.ALL if f"`{each.__name__}`" not in page] == []
