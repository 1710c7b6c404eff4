"""The class that holds for one request, exceptions applied."""

import dataclasses

from .core import ClassDeclaration, Declarations

__all__ = ["resolve_class", "class_variants"]


def resolve_class(
    declarations: Declarations, class_name: str, workspace: str
) -> ClassDeclaration:
    """Return a class as it holds for one workspace.

    Parameters
    ----------
    declarations : Declarations
        The revision under which the request is handled.
    class_name : str
        Name of a class that is declared.
    workspace : str
        Name of the workspace; one that is not declared has no exceptions of
        its own.

    Returns
    -------
    ClassDeclaration
        The class with its exceptions applied: those for every workspace first,
        then those for this one.

    Raises
    ------
    KeyError
        The class is not declared; ask ``declarations.classes`` first.

    Notes
    -----
    Results are held in ``declarations.resolved``, so they last as long as the
    revision and number at most one for each class and declared workspace.
    """
    declared = declarations.classes[class_name]
    if not declarations.exceptions:
        return declared
    scope = workspace if workspace in declarations.workspaces else ""
    by_workspace = declarations.resolved.setdefault(class_name, {})
    if scope not in by_workspace:
        by_workspace[scope] = _apply(declarations, declared, scope)
    return by_workspace[scope]


def class_variants(declarations: Declarations) -> list[ClassDeclaration]:
    """Return every form that a class takes for some workspace."""
    variants = [resolve_class(declarations, name, "") for name in declarations.classes]
    variants += [
        resolve_class(declarations, one.class_name, one.workspace)
        for one in declarations.exceptions.values()
    ]
    return variants


def _apply(
    declarations: Declarations, declared: ClassDeclaration, workspace: str
) -> ClassDeclaration:
    applicable = [
        exception
        for exception in declarations.exceptions.values()
        if exception.class_name == declared.name
        and exception.workspace in ("", workspace)
    ]
    applicable.sort(key=lambda exception: exception.workspace != "")
    for exception in applicable:
        change = {exception.set_key: exception.set_value}
        declared = dataclasses.replace(declared, **change)
    return declared
