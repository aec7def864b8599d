"""Steps for the model of the values that replicas serve."""

from __future__ import annotations

from behave import then

from devtools import serving_model


def _properties(name):
    model = next(one for one in serving_model.EXPECTED if one.name == name)
    properties = serving_model.check(model)['properties']
    return {label: found['holds'] for label, found in properties.items()}


@then('the model "{name}" has both properties')
def check_has_both(context, name):
    """Explore all states."""
    holds = _properties(name)
    assert len(holds) == 2, holds
    assert all(holds.values()), holds


@then('the model "{name}" lacks "{label}"')
def check_lacks(context, name, label):
    """Find a counterexample."""
    holds = _properties(name)
    assert holds[label] is False, holds
