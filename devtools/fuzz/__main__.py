"""Runs the stateful fuzzers with one seed."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Protocol, cast

from devtools import fuzz

ENTRY_POINT = 'run_fuzzer'


class Fuzzer(Protocol):
    """Runs examples of one fuzzer; a failing one raises AssertionError."""

    def __call__(self, *, seed: int, count: int) -> None:
        """Run a number of examples with a seed."""


def find_fuzzers() -> Iterator[tuple[str, Fuzzer]]:
    """Return the fuzzers of this package by the name of their module."""
    for info in pkgutil.iter_modules(fuzz.__path__):
        if info.name.startswith('_'):
            continue
        module = importlib.import_module(f'{fuzz.__name__}.{info.name}')
        if hasattr(module, ENTRY_POINT):
            yield info.name, cast(Fuzzer, getattr(module, ENTRY_POINT))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the chosen fuzzers and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1000)
    parser.add_argument('--only', default='', help='name of one fuzzer')
    flags = parser.parse_args(arguments)
    found = dict(find_fuzzers())
    chosen = [name for name in found if flags.only in {'', name}]
    for name in chosen:
        started = time.monotonic()
        found[name](seed=flags.seed, count=flags.count)
        elapsed = time.monotonic() - started
        print(f'{name}: {flags.count} examples passed in {elapsed:.1f} s')
    return 0 if chosen else 1


if __name__ == '__main__':
    sys.exit(main())
