"""Steps that compare the documentation with the code."""

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


@when('the reference pages are generated')
def generate_pages(context):
    """Generate the pages in the folder of the scenario."""
    write_pages(context.folder)


@then('each committed reference page equals the generated one')
def compare_pages(context):
    """Compare each page with the committed one."""
    for name in PAGES:
        committed = (source_root() / 'docs' / name).read_text()
        generated = (context.folder / name).read_text()
        assert committed == generated, f'{name}: run make reference'


@then('the alerts page names only declared metrics')
def check_alerts(context):
    """Check that the page names no undeclared metric."""
    text = (source_root() / 'docs' / 'alerts.md').read_text()
    found = set(METRIC.findall(text))
    declared = {metric.name for metric in DECLARED}
    assert found, text
    assert found <= declared, found - declared


@then('the callers page lists every refusal cause')
def check_causes(context):
    """Check that the page contains every refusal cause."""
    text = (source_root() / 'docs' / 'callers.md').read_text()
    missing = [one.value for one in RefusalCause if f'`{one}`' not in text]
    assert not missing, missing


@then('the example systemd units set the required and no unknown variables')
def check_examples(context):
    """Check the program and the environment file of each unit."""
    settings_by_program = {
        'burdocklead-daemon': DaemonSettings,
        'burdocklead-control': ControlSettings,
    }
    for program, settings in settings_by_program.items():
        path = source_root() / 'examples' / 'systemd' / f'{program}.service'
        unit = configparser.ConfigParser(strict=False, interpolation=None)
        unit.optionxform = str
        unit.read(path)
        command = unit['Service']['ExecStart']
        assert command.split('/')[-1] == program, command
        check_environment(path.with_suffix('.env'), settings)


def check_environment(path, settings):
    """Check that a file sets all required variables and no unknown ones."""
    variables = {variable_of(name) for name in declared_options(settings)}
    required = {
        variable_of(name)
        for name, option in declared_options(settings).items()
        if option.default is None
    }
    lines = path.read_text().splitlines()
    found = {line.partition('=')[0] for line in lines if '=' in line}
    found = {name for name in found if not name.startswith('#')}
    assert required <= found <= variables, (path, found ^ variables)
