"""Limit the retries of calls at a node."""

import trio
from absl import logging

from persimmonhall.call.messages import Reply
from persimmonhall.call.request_plan import RequestPlan
from persimmonhall.routing.failed_calls import FailedCalls
from persimmonhall.routing.node_retry_budget import NodeRetryBudget
from persimmonhall.routing.retry_rules import has_failed
from persimmonhall.routing.retry_tokens import RetryTokens

MIN_RETRY_TIME_LEFT_MS = 5
FAILED_ROOT_MEMORY_S = 10.0


class RetryLimiter:
    """Allow a retry only with a token of its root and within the node's budget."""

    def __init__(self, tokens: RetryTokens):
        self._tokens = tokens
        self._budget = NodeRetryBudget(trio.current_time())
        self._failed_calls = FailedCalls()

    def open_request(self, plan: RequestPlan, deadline: float) -> None:
        """Count a request and grant a root its tokens, unless the root is a resend."""
        now = trio.current_time()
        self._budget.earn(now)
        if plan.retry_tokens and not self._failed_calls.contains(plan.call_key, now):
            self._tokens.open(plan.chain.root, plan.retry_tokens, deadline)

    def close_request(self, plan: RequestPlan, reply: Reply | None) -> None:
        """Close a root; record a failure whose resend has to count as a retry."""
        should_record = not plan.is_root or self._tokens.close(plan.chain.root)
        if not should_record or (reply is not None and not has_failed(reply)):
            return
        now = trio.current_time()
        expiry_s = FAILED_ROOT_MEMORY_S if plan.is_root else plan.time_budget_ms / 1000
        self._failed_calls.record(plan.call_key, now + expiry_s, now)

    async def try_start(self, plan: RequestPlan) -> bool:
        """Return whether a call may start; a backend server's resend takes a token."""
        if plan.is_root or not self._failed_calls.contains(
            plan.call_key, trio.current_time()
        ):
            return True
        return await self._try_acquire_token(plan, "resend")

    async def try_retry(self, plan: RequestPlan, deadline: float) -> bool:
        """Return whether this node may retry; take a token if so."""
        left_ms = (deadline - trio.current_time()) * 1000
        return left_ms >= MIN_RETRY_TIME_LEFT_MS and await self._try_acquire_token(
            plan, "retry"
        )

    async def _try_acquire_token(self, plan: RequestPlan, purpose: str) -> bool:
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
