"""Steps about result codes."""

from behave import given, then

from jacinthcove.codes import ResultCode, result_class


@given("the result code {name}")
def step_code(context, name):
    context.code = ResultCode[name]


@then('its class is "{name}"')
def step_class(context, name):
    assert result_class(context.code).value == name
