"""Resolution of classes with their exceptions applied."""

import dataclasses

from .core import ClassDeclaration, Declarations

__all__ = ["class_variants", "resolve_class"]


def resolve_class(
    declarations: Declarations, class_name: str, workspace: str
) -> ClassDeclaration:
    """Return a class with the exceptions for one workspace applied.

    Parameters
    ----------
    declarations : Declarations
        Revision under which the request is handled.
    class_name : str
        Name of a declared class.
    workspace : str
        Name of the workspace.  An undeclared workspace has no exceptions of its
        own.

    Returns
    -------
    ClassDeclaration
        The class with its exceptions applied: those for every workspace first,
        then those for this workspace.

    Raises
    ------
    KeyError
        If the class is not declared; check ``declarations.classes`` first.

    Notes
    -----
    Results are cached in ``declarations.resolved``.  They last as long as the
    revision, with at most one per class and declared workspace and one per class
    for all other workspaces.
    """
    declared = declarations.classes[class_name]
    if not declarations.exceptions:
        return declared
    cache_key = workspace if workspace in declarations.workspaces else ""
    by_workspace = declarations.resolved.setdefault(class_name, {})
    if cache_key not in by_workspace:
        by_workspace[cache_key] = _apply_exceptions(declarations, declared, cache_key)
    return by_workspace[cache_key]


def class_variants(declarations: Declarations) -> list[ClassDeclaration]:
    """Return each class without a workspace, and its variant for each exception."""
    variants = [resolve_class(declarations, name, "") for name in declarations.classes]
    variants += [
        resolve_class(declarations, exception.class_name, exception.workspace)
        for exception in declarations.exceptions.values()
    ]
    return variants


def _apply_exceptions(
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
