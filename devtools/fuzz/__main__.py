"""Runs all fuzzers, or one of them, with a given seed."""

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
    """Entry point of a fuzzer."""

    def __call__(self, *, seed: int, count: int) -> None:
        """Run the examples; raise AssertionError if one fails."""


def find_fuzzers() -> Iterator[tuple[str, Fuzzer]]:
    """Yield the module name and entry point of each fuzzer."""
    for info in pkgutil.iter_modules(fuzz.__path__):
        if info.name.startswith('_'):
            continue
        module = importlib.import_module(f'{fuzz.__name__}.{info.name}')
        if hasattr(module, ENTRY_POINT):
            yield info.name, cast(Fuzzer, getattr(module, ENTRY_POINT))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the selected fuzzers; the exit code is 1 if none is selected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1000)
    parser.add_argument('--only', default='', help='run only this fuzzer')
    flags = parser.parse_args(arguments)
    fuzzers = dict(find_fuzzers())
    selected = [name for name in fuzzers if flags.only in {'', name}]
    for name in selected:
        started = time.monotonic()
        fuzzers[name](seed=flags.seed, count=flags.count)
        elapsed = time.monotonic() - started
        print(f'{name}: {flags.count} examples passed in {elapsed:.1f} s')
    return 0 if selected else 1


if __name__ == '__main__':
    sys.exit(main())
