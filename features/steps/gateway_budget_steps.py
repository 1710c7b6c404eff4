"""Steps about the budget of retries."""

from datetime import UTC, datetime, timedelta

from behave import then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from zinniaramp.routing.budget import WindowRetryBudget

START = datetime(2026, 1, 1, tzinfo=UTC)


@when("retries are asked for at any times, around restarts of some processes")
def any_retries(context):
    context.check = check_window_budget


@then("in no window are there more than the processes may make together")
def within_window(context):
    context.check()


def check_window_budget():
    """Drive budgets of several processes through any history."""

    @settings(max_examples=100)
    @for_any(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["request", "retry", "retry", "restart"]),
                st.integers(0, 900),
            ),
            max_size=200,
        )
    )
    def check(history):
        drive_budgets(history)

    check()


def drive_budgets(history):
    """Check each window that ends with a retry; a process restarts once at most."""
    window, now = timedelta(seconds=10), START
    restarted = set()
    budgets = [WindowRetryBudget(window=window, started_at=now) for _ in range(3)]
    requests, retries = [], []
    for process, what, step_ms in history:
        now += timedelta(milliseconds=step_ms)
        budget = budgets[process]
        if what == "restart" and process not in restarted:
            restarted.add(process)
            budgets[process] = WindowRetryBudget(window=window, started_at=now)
        elif what != "retry":
            budget.record_request(now)
            requests.append(now)
        elif budget.withdraw(share=0.2, slack=4, now=now):
            retries.append(now)
            made = sum(at > now - window for at in retries)
            asked = sum(at > now - window for at in requests)
            assert made <= 0.2 * asked + 3 * 4, (made, asked)
