"""Steps for the declarations: parsing, checks and exceptions."""

from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st
from result import Err, Ok

from zinniaramp.contracts import RevisionId
from zinniaramp.declarations import read_declarations, resolve_class

ROOT = Path(__file__).resolve().parent.parent.parent
REVISION = RevisionId(index=1, digest="d")

HEADINGS = st.sampled_from(
    ["defaults", "class a", "class b", "workspace a", "service a", "exception a", "x"]
)
KEYS = st.sampled_from(
    ["tier", "finish", "deadline", "floor", "class_name", "set_key", "set_value", "?"]
)
VALUES = st.sampled_from(["1", "0.1", "-1", "nan", "inf", "a", "tier", "", "[", "%s"])
TEXTS = st.lists(
    st.one_of(
        HEADINGS.map("[{}]".format),
        st.tuples(KEYS, VALUES).map(" = ".join),
        st.text(max_size=8),
    ),
    max_size=12,
).map("\n".join)


def read(text):
    """Return the result of parsing a text under the revision of all scenarios."""
    return read_declarations(text, file="test.ini", revision=REVISION)


@given("the example declarations of {deployment}")
def example(context, deployment):
    path = ROOT / "examples" / deployment / "declarations.ini"
    context.source = path.read_text()


@given('"{old}" is replaced by "{new}"')
def replace(context, old, new):
    old, new = old.replace("\\n", "\n"), new.replace("\\n", "\n")
    assert old in context.source, old
    context.source = context.source.replace(old, new, 1)


@given('a section "{heading}" is added')
def add_section(context, heading):
    context.source += f"\n{heading}\n"


@given('the exception "{name}" is copied as "{copy}"')
def repeat_exception(context, name, copy):
    section = context.source.partition(f"[exception {name}]")[2].partition("[")[0]
    context.source += f"\n[exception {copy}]{section}"


@given("{count:d} classes with a floor of {floor:g} are added")
def add_classes(context, count, floor):
    for i in range(count):
        context.source += f"\n[class added-{i}]\ntier = 5\nfloor = {floor}\n"


@given('an exception sets finish = {value:d} for every workspace of "{name}"')
def add_exception(context, value, name):
    context.source += (
        f"\n[exception general]\nreason = holds for every workspace\n"
        f"class_name = {name}\nset_key = finish\nset_value = {value}\n"
    )


@when("the declarations are read")
def read_text(context):
    context.result = read(context.source)


@then("there are no problems")
def check_no_problems(context):
    assert isinstance(context.result, Ok), context.result


@then(
    'the only problem is at [{section}] {key} and its remedy mentions "{remedy_text}"'
)
def check_problem(context, section, key, remedy_text):
    check_only_problem(context, section, key, remedy_text)


@then('the only problem is at [{section}]  and its remedy mentions "{remedy_text}"')
def check_section_problem(context, section, remedy_text):
    check_only_problem(context, section, "", remedy_text)


def check_only_problem(context, section, key, remedy_text):
    """Assert that the only problem is at a key, with a text in its remedy."""
    problems = context.result.err_value
    assert len(problems) == 1, [str(problem) for problem in problems]
    assert (problems[0].section, problems[0].key) == (section, key), str(problems[0])
    assert remedy_text in problems[0].remedy, str(problems[0])


@then("there are {count:d} problems")
def check_count(context, count):
    problems = [str(problem) for problem in context.result.err_value]
    assert len(problems) == count, problems


@given("any INI text with known and unknown sections")
def any_texts(context):
    context.cases = TEXTS


@when("each text is read twice")
def read_twice(context):
    @for_any(context.cases)
    def check(text):
        first, second = read(text), read(text)
        assert first == second
        match first:
            case Err(problems):
                assert problems
                assert all(problem.message and problem.remedy for problem in problems)

    context.check = check


@then("both results are equal and each problem has a message and a remedy")
def run_check_of_texts(context):
    context.check()


@then('the finish target of "{name}" is {seconds:d} s for "{workspace}"')
def check_finish(context, name, seconds, workspace):
    declarations = context.result.unwrap()
    resolved_class = resolve_class(declarations, name, workspace)
    assert resolved_class.finish.total_seconds() == seconds, resolved_class
    assert resolve_class(declarations, name, workspace) is resolved_class


@then('at most {count:d} resolved classes are cached for "{name}"')
def check_cached(context, count, name):
    assert len(context.result.unwrap().resolved[name]) <= count
