"""The libraries that programs import, and those that the lists declare."""

import ast
import re
import sys
import tomllib
from importlib.metadata import distribution, packages_distributions
from importlib.util import resolve_name
from pathlib import Path

__all__ = [
    "ROOT",
    "install_libraries",
    "libraries_of_directory",
    "libraries_of_program",
    "read_declared",
    "read_deploy_file",
    "read_pins",
]

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""

OWN_PACKAGES = frozenset(("zinniaramp", "features"))


def normalize(name):
    """Return the normalized name of a library, as package indexes compare them."""
    return re.sub(r"[-_.]+", "-", name).lower()


def read_deploy_file():
    """Return the contents of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def read_pins(path):
    """Return the version of each library in a list of pinned requirements."""
    lines = (ROOT / path).read_text().split()
    return {
        normalize(name): version
        for name, version in (line.split("==") for line in lines)
    }


def read_declared(*, with_dev):
    """Return the libraries that ``pyproject.toml`` declares."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    lines = list(project["dependencies"])
    if with_dev:
        lines += project["optional-dependencies"]["dev"]
    return {normalize(re.match(r"[\w.-]+", line).group()) for line in lines}


def libraries_of_program(module):
    """Return the libraries that a program imports, directly or through own modules.

    Imports within functions count, although the program may start without them.
    """
    imported, waiting = set(), [module]
    while waiting:
        name = waiting.pop()
        if name not in imported:
            imported.add(name)
            waiting.append(name.rpartition(".")[0])
            waiting += list_imports(find_source(name))
    return find_libraries(imported)


def libraries_of_directory(directory):
    """Return the libraries that the modules below a directory import."""
    paths = (ROOT / directory).rglob("*.py")
    return find_libraries({name for path in paths for name in list_imports(path)})


def find_source(module):
    """Return the path of a module of the repository; None if it is not one."""
    path = ROOT.joinpath(*module.split("."))
    candidates = (path.with_suffix(".py"), path / "__init__.py")
    return next((one for one in candidates if module and one.exists()), None)


def list_imports(path):
    """Return the absolute names of all that a module imports."""
    if path is None:
        return []
    package = ".".join(path.parent.relative_to(ROOT).parts)
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            base = resolve_name("." * node.level + (node.module or ""), package)
            names += [base, *(f"{base}.{alias.name}" for alias in node.names)]
    return names


def find_libraries(modules):
    """Return the libraries that provide modules, without the standard library.

    A module that no installed library provides is returned under its own name.
    """
    names = {module.partition(".")[0] for module in modules}
    providers = packages_distributions()
    return {
        normalize(provider)
        for name in names - sys.stdlib_module_names - OWN_PACKAGES - {""}
        for provider in providers.get(name, [name])
    }


def install_libraries(pins, directory):
    """Link pinned libraries of this Python, and no others, into a directory."""
    directory.mkdir()
    for name, version in pins.items():
        library = distribution(name)
        assert library.version == version, (name, library.version, version)
        for top in {Path(file).parts[0] for file in library.files} - {"..", "bin"}:
            (directory / top).symlink_to(library.locate_file(top))
