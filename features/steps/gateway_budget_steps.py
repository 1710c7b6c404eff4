"""Steps for the retry budget."""

from datetime import UTC, datetime, timedelta

from behave import then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from zinniaramp.routing.budget import WindowRetryBudget

START = datetime(2026, 1, 1, tzinfo=UTC)


@when("processes request retries at any times, and some of them restart")
def generated_retries(context):
    context.check = check_window_budget


@then("no window has more retries than the budget of all processes allows")
def within_window(context):
    context.check()


def check_window_budget():
    """Check the budgets of several processes against generated histories."""

    @settings(max_examples=100)
    @given_any(
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
        apply_history(history)

    check()


def apply_history(history):
    """Apply a history and check each window that ends with a retry.

    Each process restarts at most once.
    """
    window, now = timedelta(seconds=10), START
    restarted = set()
    budgets = [WindowRetryBudget(window=window, started_at=now) for _ in range(3)]
    requests, retries = [], []
    for process, action, step_ms in history:
        now += timedelta(milliseconds=step_ms)
        budget = budgets[process]
        if action == "restart" and process not in restarted:
            restarted.add(process)
            budgets[process] = WindowRetryBudget(window=window, started_at=now)
        elif action != "retry":
            budget.record_request(now)
            requests.append(now)
        elif budget.withdraw(share=0.2, slack=4, now=now):
            retries.append(now)
            recent_retries = sum(at > now - window for at in retries)
            recent_requests = sum(at > now - window for at in requests)
            assert recent_retries <= 0.2 * recent_requests + 3 * 4, (
                recent_retries,
                recent_requests,
            )
