"""Mutations of a copy of the product, which the soak must detect."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from devtools.processes import source_root


@dataclass(frozen=True, slots=True)
class Edit:
    """A replacement of one text in a source file.

    Attributes:
        path: Path of the file, relative to the source root.
        before: Text to replace, which must occur exactly once.
        after: Replacement text.
    """

    path: str
    before: str
    after: str


MUTATIONS: dict[str, tuple[Edit, ...]] = {
    'broken-fence': (
        Edit(
            'burdocklead/request/attempt_runner.py',
            "return _lost(query.attempt_id, 'daemon restarted', final=True)",
            'return _refusal(query.attempt_id, RefusalCause.fenced)',
        ),
    ),
    'lost-sync': (
        Edit(
            'burdocklead/durable/store.py',
            '        record = encode_record(changes)\n',
            '        if not self.failure:\n            return\n'
            '        record = encode_record(changes)\n',
        ),
    ),
    'any-answer': (
        Edit(
            'burdocklead/connection/answer_reader.py',
            'answer_id not in {None, self.request.answer_id}',
            'False',
        ),
    ),
    'no-bounds': (
        Edit(
            'burdocklead/connection/answer_reader.py',
            'self.received.violation(self.limits) or self._slow_reason()',
            "''",
        ),
    ),
    'stale-version': (
        Edit(
            'burdocklead/durable/configuration.py',
            '    if version <= current.version:\n',
            '    if version < current.version:\n',
        ),
    ),
}


def mutated_sources(folder: Path, name: str) -> Path | None:
    """Return the folder of a mutated source copy, None without a mutation.

    Raises:
        ValueError: If the text to replace doesn't occur exactly once.
    """
    if not name:
        return None
    copy = folder / 'sources'
    shutil.copytree(source_root() / 'burdocklead', copy / 'burdocklead')
    for edit in MUTATIONS[name]:
        path = copy / edit.path
        text = path.read_text()
        if text.count(edit.before) != 1:
            raise ValueError(f'{edit.path} must contain the text exactly once')
        path.write_text(text.replace(edit.before, edit.after))
    return copy
