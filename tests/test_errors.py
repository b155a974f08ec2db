"""Test that the exception classes of the program form one hierarchy."""

from __future__ import annotations

import importlib
import inspect
import pkgutil

import ingress
from ingress.errors import IngressError


def find_error_classes() -> set[type[Exception]]:
    """Return the exception classes that the modules of the program define."""
    classes = set()
    for module_info in pkgutil.walk_packages(ingress.__path__, "ingress."):
        if module_info.name.endswith(".__main__"):
            continue  # importing it would run the program
        module = importlib.import_module(module_info.name)
        for _, error_class in inspect.getmembers(module, inspect.isclass):
            if issubclass(error_class, Exception) and error_class.__module__ == module_info.name:
                classes.add(error_class)
    return classes


def test_all_error_classes_share_a_base_class_and_a_name_suffix() -> None:
    classes = find_error_classes()
    assert len(classes) > 5
    assert {
        error_class.__name__ for error_class in classes if not issubclass(error_class, IngressError)
    } == set()
    assert {
        error_class.__name__ for error_class in classes if not error_class.__name__.endswith("Error")
    } == set()
