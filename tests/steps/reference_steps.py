"""Steps that hold the documentation to the code."""

from __future__ import annotations

import configparser
import re

from behave import then, when

from burdocklead.metrics import DECLARED
from burdocklead.options import declared_options, variable_of
from burdocklead.settings import ControlSettings, DaemonSettings
from burdocklead.values import RefusalCause
from devtools.processes import source_root
from devtools.reference_pages import PAGES, write_pages

METRIC = re.compile(r'`(burdocklead_[a-z_]+)')


@when('the reference pages are made from the declarations')
def make_pages(context):
    """Write the pages to the folder of the scenario."""
    write_pages(context.folder)


@then('each committed reference page is the same')
def compare_pages(context):
    """Compare each page with the committed one."""
    for name in PAGES:
        committed = (source_root() / 'docs' / name).read_text()
        made = (context.folder / name).read_text()
        assert committed == made, f'{name}: run make reference'


@then("the operators' page on alerts names only metrics that are declared")
def check_alerts(context):
    """Look for metrics that no process has."""
    text = (source_root() / 'docs' / 'alerts.md').read_text()
    named = set(METRIC.findall(text))
    declared = {metric.name for metric in DECLARED}
    assert named, text
    assert named <= declared, named - declared


@then("every refusal cause stands on the callers' page")
def check_causes(context):
    """Look for causes without an explanation."""
    text = (source_root() / 'docs' / 'callers.md').read_text()
    missing = [one.value for one in RefusalCause if f'`{one}`' not in text]
    assert not missing, missing


@then("the example files of the operators' pages are valid")
def check_examples(context):
    """Check that units name real flags and variables."""
    known = {
        'burdocklead-daemon': DaemonSettings,
        'burdocklead-control': ControlSettings,
    }
    for program, kind in known.items():
        path = source_root() / 'examples' / 'systemd' / f'{program}.service'
        unit = configparser.ConfigParser(strict=False, interpolation=None)
        unit.optionxform = str
        unit.read(path)
        command = unit['Service']['ExecStart']
        assert command.split('/')[-1] == program, command
        check_environment(path.with_suffix('.env'), kind)


def check_environment(path, kind):
    """Check that a file sets only variables that the program reads."""
    variables = {variable_of(name) for name in declared_options(kind)}
    required = {
        variable_of(name)
        for name, option in declared_options(kind).items()
        if option.default is None
    }
    lines = path.read_text().splitlines()
    named = {line.partition('=')[0] for line in lines if '=' in line}
    named = {name for name in named if not name.startswith('#')}
    assert required <= named <= variables, (path, named ^ variables)
