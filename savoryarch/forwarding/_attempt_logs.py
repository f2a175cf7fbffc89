"""Log events of attempts that fail, and of sub-requests that are sent again."""

from savoryarch.forwarding._context import DecisionContext
from savoryarch.forwarding._state import SubRequest
from savoryarch.model import AttemptEnded, AttemptReply, LogRoutine, ResponseReturned


def make_failure_log(context: DecisionContext, ended: AttemptEnded, service: str) -> LogRoutine:
    """Return the log event of a failed attempt, with this instance's load on the target."""
    usage = context.targets.usages.get(ended.target_id)
    reply = ended.reply
    status = str(reply.status) if isinstance(reply, ResponseReturned) else ""
    fields = (
        ("request", context.forward.event.request.client_request_id),
        ("service", service),
        ("target", ended.target_id),
        ("reply", reply_label(reply)),
        ("status", status),
        ("detail", str(getattr(reply, "detail", ""))),
        ("waited_ms", f"{context.now_ms - context.forward.received_at_ms:.0f}"),
        ("target_in_flight", str(usage.in_flight) if usage else "gone"),
        ("target_failing", f"{usage.failure_share:.2f}" if usage else "gone"),
    )
    return LogRoutine("attempt_failed", fields)


def make_resend_log(
    context: DecisionContext, sub_request: SubRequest, reason: str, target_id: str
) -> LogRoutine:
    """Return the log event of a resend, with its reason and the state that led to it."""
    forward = context.forward
    service_budget = context.state.budgets.get(sub_request.service)
    fields = (
        ("request", forward.event.request.client_request_id),
        ("service", sub_request.service),
        ("reason", reason),
        ("target", target_id),
        ("tried", ",".join(sorted(sub_request.attempted_target_ids))),
        ("waited_ms", f"{context.now_ms - forward.received_at_ms:.0f}"),
        ("budget_left", f"{service_budget.budget.tokens:.1f}" if service_budget else "none"),
    )
    return LogRoutine("piece_resent", fields)


def reply_label(reply: AttemptReply) -> str:
    """Return the name of a reply's class in snake case, as log lines and counters have it."""
    name = type(reply).__name__
    return "".join(f"_{letter.lower()}" if letter.isupper() else letter for letter in name)[1:]
