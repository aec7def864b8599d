"""Steps for the hooks of the test runner."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when

from tests.environment import after_scenario, before_scenario


class CleanupContext(SimpleNamespace):
    """Context that keeps the cleanups of a scenario."""

    def add_cleanup(self, cleanup):
        """Add a cleanup, which runs after the hooks of the scenario."""
        self.cleanups.append(cleanup)


@given('a scenario whose step starts a process that writes into its folder')
def start_scenario(context):
    """Run the first hook and add the cleanup of a step."""
    inner = CleanupContext(cleanups=[])
    scenario = SimpleNamespace(status=SimpleNamespace(name='passed'))
    before_scenario(inner, scenario)
    context.seen = []
    inner.add_cleanup(lambda: context.seen.append(inner.folder.exists()))
    context.inner = inner
    context.inner_scenario = scenario


@when('the scenario ends')
def end_scenario(context):
    """Run the last hook, then the cleanups from the last to the first."""
    after_scenario(context.inner, context.inner_scenario)
    for cleanup in reversed(context.inner.cleanups):
        cleanup()


@then('the folder was there when the process was ended')
def check_folder_kept(context):
    """Check what the cleanup of the step saw."""
    assert context.seen == [True], context.seen


@then('the folder is gone')
def check_folder_removed(context):
    """Check that nothing is left."""
    assert not context.inner.folder.exists()
