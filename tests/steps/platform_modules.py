"""Import of modules of the folder ``platform``, which is no package."""

from __future__ import annotations

import importlib
import sys

from tests.platform.stand_in import ROOT


def import_platform_module(name):
    """Return a module of the folder, which is on the path only meanwhile."""
    folder = str(ROOT / 'platform')
    sys.path.append(folder)
    try:
        return importlib.import_module(name)
    finally:
        sys.path.remove(folder)
