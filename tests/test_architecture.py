"""Which package may import which: the rules of docs/ARCHITECTURE.md, checked on the sources themselves."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"

# Package -> the packages of cartdeal that it may import. Modules directly in cartdeal: LIBRARY below.
ALLOWED = {
    "fleet": {"fleet"},
    "fleet.membership": {"fleet", "fleet.membership"},
    "fleet.ring": {"fleet", "fleet.ring"},
    "fleet.consensus": {"fleet", "fleet.ring", "fleet.consensus"},
    "fleet.replication": {"fleet", "fleet.ring", "fleet.replication"},
    "fleet.quota": {"fleet", "fleet.ring", "fleet.quota"},
    "fleet.simulation": {
        "fleet",
        "fleet.consensus",
        "fleet.membership",
        "fleet.quota",
        "fleet.replication",
        "fleet.ring",
        "fleet.simulation",
    },
    "fleet.transport": {"fleet", "fleet.transport"},
    "agent": {"agent", "fleet", "fleet.transport"},
    "benchlink": {"benchlink"},
    "emulator": {"agent", "emulator"},
    "rig": {"agent", "emulator", "rig", "rig.soak"},
    "rig.soak": {"agent", "emulator", "rig", "rig.soak"},
    "lab": None,  # experiments may use everything
}
# Directly in fleet/, these stand above the protocols, which import none of them: the node ties the protocols
# together, admissions go by what several of them know, the fleet's clock by the ring.
ABOVE_PROTOCOLS = {"node", "pending_admissions", "idempotency", "effects", "fleet_clock"}
# Modules directly in cartdeal that everything may import; they import nothing of the packages.
LIBRARY = {"atomic_write", "settings", "simulated_time", "sockets", "supervision", "balancer_types"}


def package_of(path: Path) -> str:
    """ "fleet.ring" for cartdeal/fleet/ring/damping.py, "" for a module directly in cartdeal."""
    return ".".join(path.relative_to(ROOT / "cartdeal").parent.parts)


def imported_modules(path: Path) -> set[str]:
    """The modules of cartdeal that a file imports, anywhere in it, without the leading "cartdeal."."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    modules = {each.removeprefix("cartdeal.") for each in found if each.startswith("cartdeal.")}
    return {each for each in modules if is_module(each)}


def is_module(name: str) -> bool:
    path = ROOT / "cartdeal" / Path(*name.split("."))
    return path.is_dir() or path.with_suffix(".py").exists()


def package_of_module(name: str) -> str:
    path = ROOT / "cartdeal" / Path(*name.split("."))
    return name if path.is_dir() else name.rpartition(".")[0]


SOURCES = sorted((ROOT / "cartdeal").rglob("*.py"))


@pytest.mark.parametrize("path", SOURCES, ids=[str(path.relative_to(ROOT)) for path in SOURCES])
def test_a_module_imports_only_what_lies_below_it(path):
    package = package_of(path)
    name = str(path.relative_to(ROOT))
    if not package or ALLOWED[package] is None or package == "fleet" and path.stem in ABOVE_PROTOCOLS:
        return
    modules = imported_modules(path)
    used = {package_of_module(each) for each in modules} - {""}
    assert used <= ALLOWED[package], f"{name} imports {sorted(used - ALLOWED[package])}"
    if package.startswith("fleet") and package not in ("fleet.simulation", "fleet.transport"):
        above = {f"fleet.{each}" for each in ABOVE_PROTOCOLS}
        assert not modules & above, f"{name} imports {sorted(modules & above)}"


@pytest.mark.parametrize("module", sorted(LIBRARY))
def test_the_library_modules_import_no_package(module):
    used = {package_of_module(each) for each in imported_modules(ROOT / "cartdeal" / f"{module}.py")}
    assert used <= {""}


def test_every_package_has_a_rule():
    packages = {package_of(path) for path in SOURCES} - {""}
    assert packages == set(ALLOWED)


def test_the_page_names_only_files_that_are_there():
    named = set(re.findall(r"`((?:cartdeal|tests|docs)/[\w./]+)`", PAGE.read_text()))
    assert len(named) > 10
    assert [path for path in sorted(named) if not (ROOT / path).exists()] == []
