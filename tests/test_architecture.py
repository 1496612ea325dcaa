"""Checks on the sources which package may import which, by the rules of docs/ARCHITECTURE.md."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ARCHITECTURE_PAGE = ROOT / "docs" / "ARCHITECTURE.md"

# For each package, the packages of cartdeal that it may import. LIBRARY_MODULES are allowed everywhere.
ALLOWED_IMPORTS = {
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
    "lab": None,  # experiments may import every package
}
# These modules of the package fleet use its protocols, which must not import them: the node connects the
# protocols, the admissions use the state of several protocols, and the fleet's clock uses the ring.
MODULES_ABOVE_PROTOCOLS = {"node", "pending_admissions", "idempotency", "effects", "fleet_clock"}
# Modules directly in cartdeal that every package may import; they import no package.
LIBRARY_MODULES = {"atomic_write", "settings", "simulated_time", "sockets", "supervision", "balancer_types"}


def package_of(path: Path) -> str:
    """The package of a file: "fleet.ring" for cartdeal/fleet/ring/damping.py, "" directly in cartdeal."""
    return ".".join(path.relative_to(ROOT / "cartdeal").parent.parts)


def imported_modules(path: Path) -> set[str]:
    """The modules of cartdeal that a file imports at any place, without the prefix "cartdeal."."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    modules = {each.removeprefix("cartdeal.") for each in names if each.startswith("cartdeal.")}
    return {each for each in modules if is_module(each)}


def is_module(name: str) -> bool:
    """Whether the name is that of a module or package of cartdeal."""
    path = ROOT / "cartdeal" / Path(*name.split("."))
    return path.is_dir() or path.with_suffix(".py").exists()


def package_of_module(name: str) -> str:
    """The package of a module, by its name; a package's own name for a package."""
    path = ROOT / "cartdeal" / Path(*name.split("."))
    return name if path.is_dir() else name.rpartition(".")[0]


SOURCES = sorted((ROOT / "cartdeal").rglob("*.py"))


@pytest.mark.parametrize("path", SOURCES, ids=[str(path.relative_to(ROOT)) for path in SOURCES])
def test_a_module_imports_only_what_its_package_may_import(path):
    package = package_of(path)
    name = str(path.relative_to(ROOT))
    if (
        not package
        or ALLOWED_IMPORTS[package] is None
        or package == "fleet"
        and path.stem in MODULES_ABOVE_PROTOCOLS
    ):
        return
    modules = imported_modules(path)
    imported = {package_of_module(each) for each in modules} - {""}
    assert imported <= ALLOWED_IMPORTS[package], (
        f"{name} imports {sorted(imported - ALLOWED_IMPORTS[package])}"
    )
    if package.startswith("fleet") and package not in ("fleet.simulation", "fleet.transport"):
        forbidden = {f"fleet.{each}" for each in MODULES_ABOVE_PROTOCOLS}
        assert not modules & forbidden, f"{name} imports {sorted(modules & forbidden)}"


@pytest.mark.parametrize("module", sorted(LIBRARY_MODULES))
def test_a_library_module_imports_no_package(module):
    imported = {package_of_module(each) for each in imported_modules(ROOT / "cartdeal" / f"{module}.py")}
    assert imported <= {""}


def test_every_package_has_a_rule():
    packages = {package_of(path) for path in SOURCES} - {""}
    assert packages == set(ALLOWED_IMPORTS)


def test_the_architecture_page_names_only_files_that_exist():
    named_paths = set(re.findall(r"`((?:cartdeal|tests|docs)/[\w./]+)`", ARCHITECTURE_PAGE.read_text()))
    assert len(named_paths) > 10
    assert [path for path in sorted(named_paths) if not (ROOT / path).exists()] == []
