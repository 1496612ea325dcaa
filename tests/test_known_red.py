"""The list of known failures is well-formed, names existing tests and scripts, and its scripts still fail."""

import re
from subprocess import TimeoutExpired

import pytest

from tests import known_red

ROOT = known_red.FILE.parent


def test_every_listed_test_and_script_exists():
    for failure in known_red.read():
        file, _, test = failure.test.partition("::")
        name = test.partition("[")[0]
        pattern = "" if failure.is_script else rf"^def {name}\("
        assert re.search(pattern, (ROOT / file).read_text(), re.MULTILINE), failure.test


def test_listed_scripts_still_fail():
    """A script that passes, or can't run, has to be taken off the list."""
    scripts = [each.test for each in known_red.read() if each.is_script and not each.is_slow]
    statuses = {script: known_red.run_script(ROOT / script) for script in scripts}
    assert statuses == dict.fromkeys(scripts, known_red.FAULT_STATUS)


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_x.py::test_y | no command | 1",
        "tests/test_x.py | pytest, no seed | a file and no script | 1",
        "tests/test_x.py::test_y | pytest | | 1",
        "slow tests/test_x.py::test_y | pytest | seen | 1",
        "tests/test_x.py::test_y | pytest | seen | 1 | more",
    ],
)
def test_malformed_entry_is_refused_with_its_line(line):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt, line 3: .*wanted"):
        known_red.parse("# heading\n\n" + line)


def test_entry_lists_a_test_with_all_its_parameters_or_one_of_them():
    all_cases, one_case = known_red.parse("t.py::test_a | x | seen | 1\nt.py::test_b[x] | x | seen | 1")
    assert all_cases.names("t.py::test_a") and all_cases.names("t.py::test_a[x]")
    assert not all_cases.names("t.py::test_ab")
    assert one_case.names("t.py::test_b[x]") and not one_case.names("t.py::test_b[y]")


def test_number_of_entries_is_not_limited():
    assert len(known_red.parse("t.py::test_a | x | seen | 1\n" * 10)) == 10


def test_script_is_listed_as_fast_or_slow():
    fast, slow = known_red.parse("review/1/run.sh | sh | seen | 1\nslow review/2/run.sh | sh | seen | 1")
    assert fast.is_script and not fast.is_slow
    assert slow.is_script and slow.is_slow and slow.test == "review/2/run.sh"


@pytest.mark.parametrize("status", [0, 1, 2])
def test_status_of_a_script_is_returned(tmp_path, status):
    (tmp_path / "case.sh").write_text(f"exit {status}")
    assert known_red.run_script(tmp_path / "case.sh") == status


def test_script_that_is_too_slow_for_its_entry_is_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr(known_red, "SCRIPT_TIMEOUT_S", 0.1)
    (tmp_path / "case.sh").write_text("exec sleep 10")
    with pytest.raises(TimeoutExpired):
        known_red.run_script(tmp_path / "case.sh")
