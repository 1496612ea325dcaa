"""The list of known failures is short and well-formed, and names existing tests."""

import re

import pytest

from tests import known_red

ROOT = known_red.FILE.parent


def test_every_listed_test_exists():
    for failure in known_red.read():
        file, _, test = failure.test.partition("::")
        name = test.partition("[")[0]
        assert re.search(rf"^def {name}\(", (ROOT / file).read_text(), re.MULTILINE), failure.test


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_x.py::test_y | no issue",
        "tests/test_x.py | a file | 1",
        "tests/test_x.py::test_y | | 1",
        "tests/test_x.py::test_y | cause | 1\n" * 4,
    ],
)
def test_malformed_line_and_a_fourth_line_are_refused(text):
    with pytest.raises(ValueError, match="wanted"):
        known_red.parse(text)


def test_line_lists_a_test_with_all_its_parameters_or_one_of_them():
    all_cases, one_case = known_red.parse("t.py::test_a | cause | 1\nt.py::test_b[x] | cause | 1")
    assert (
        all_cases.names("t.py::test_a")
        and all_cases.names("t.py::test_a[x]")
        and not all_cases.names("t.py::test_ab")
    )
    assert one_case.names("t.py::test_b[x]") and not one_case.names("t.py::test_b[y]")
