"""Decide at a node whether a call may be made once more."""

import trio
from absl import logging

from persimmonhall.call.messages import Reply
from persimmonhall.call.plan import Plan
from persimmonhall.routing.failed_calls import FailedCalls
from persimmonhall.routing.node_retry_budget import NodeRetryBudget
from persimmonhall.routing.retry_rules import has_failed
from persimmonhall.routing.retry_tokens import RetryTokens

MIN_RETRY_MS = 5
RESEND_MEMORY_S = 10.0


class Retries:
    """Hold every further attempt to a token of its root and to a budget."""

    def __init__(self, tokens: RetryTokens):
        self._tokens = tokens
        self._budget = NodeRetryBudget(trio.current_time())
        self._failed = FailedCalls()

    def open(self, plan: Plan, deadline: float) -> None:
        """Count a request and grant a root its tokens; a resent root gets none."""
        now = trio.current_time()
        self._budget.earn(now)
        if plan.tokens and not self._failed.contains(plan.key, now):
            self._tokens.open(plan.chain.root, plan.tokens, deadline)

    def close(self, plan: Plan, reply: Reply | None) -> None:
        """Forget a root; remember a failure whose resend would be a retry too many."""
        is_repeat = not plan.is_root or self._tokens.close(plan.chain.root)
        if not is_repeat or (reply is not None and not has_failed(reply)):
            return
        now = trio.current_time()
        expiry_s = RESEND_MEMORY_S if plan.is_root else plan.budget_ms / 1000
        self._failed.record(plan.key, now + expiry_s, now)

    async def may_start(self, plan: Plan) -> bool:
        """Let a call start unless a backend server resends it without a token."""
        if plan.is_root or not self._failed.contains(plan.key, trio.current_time()):
            return True
        return await self._take(plan, "resend")

    async def may_retry(self, plan: Plan, deadline: float) -> bool:
        """Allow one more attempt by this node."""
        left_ms = (deadline - trio.current_time()) * 1000
        return left_ms >= MIN_RETRY_MS and await self._take(plan, "retry")

    async def _take(self, plan: Plan, purpose: str) -> bool:
        chain = plan.chain
        granted = self._budget.spend()
        if granted and not await self._tokens.acquire(chain.root, chain.entry):
            self._budget.refund()
            granted = False
        logging.info(
            "%s root=%s service=%s depth=%d granted=%s budget=%.1f",
            purpose,
            chain.root,
            plan.service,
            chain.depth,
            granted,
            self._budget.balance,
        )
        return granted
