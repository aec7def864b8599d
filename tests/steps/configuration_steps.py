"""Steps for configuration files."""

from __future__ import annotations

from behave import then, when

from burdocklead.exceptions import ConfigurationError
from burdocklead.version.configuration_file import decode_deployment


@when('this file is checked')
def check_file_text(context):
    """Decode the text of the step and store the problems."""
    context.problems = ()
    try:
        decode_deployment(context.text.encode())
    except ConfigurationError as error:
        context.problems = error.problems


@then('the problems are')
def compare_problems(context):
    """Compare all problems and their order."""
    expected = context.text.splitlines()
    assert list(context.problems) == expected, context.problems
