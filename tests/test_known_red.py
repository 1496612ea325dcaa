"""The list of known failures is short, well-formed and names tests that there are."""

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
def test_line_of_another_form_and_a_fourth_line_are_refused(text):
    with pytest.raises(ValueError, match="wanted"):
        known_red.parse(text)


def test_line_names_a_test_with_all_of_its_parameters_or_one_of_them():
    every, one = known_red.parse("t.py::test_a | cause | 1\nt.py::test_b[x] | cause | 1")
    assert every.names("t.py::test_a") and every.names("t.py::test_a[x]") and not every.names("t.py::test_ab")
    assert one.names("t.py::test_b[x]") and not one.names("t.py::test_b[y]")
