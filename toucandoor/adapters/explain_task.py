"""Controller task that queries its entry's record of a request."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, Final

from toucandoor.exceptions import ToucandoorError
from toucandoor.ids import RequestId
from toucandoor.messages import ExplainAnswer, ExplainQuery, OperatorReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.adapters.link import Link

ANSWER_TIMEOUT_S: Final = 2.0


class ExplainTask:
    """Forwards operators' queries to the entry and returns its answers.

    Args:
        entry_id: The entry VM that this controller runs on.
        links: Returns the open links to its entry processes.
    """

    def __init__(self, entry_id: str, links: Callable[[], Iterable[Link]]) -> None:
        self._entry_id = entry_id
        self._links = links
        self._query_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[list[str]]] = {}

    def on_answer(self, answer: ExplainAnswer) -> None:
        """Handle an entry's answer; ignore it if its query has timed out."""
        pending = self._pending.get(answer.query_id)
        if pending is not None and not pending.done():
            pending.set_result(answer.lines)

    async def async_explain_request(self, arguments: dict[str, Any]) -> OperatorReply:
        """Execute the command ``explain request``."""
        request_id = RequestId(str(arguments["request"]))
        entry_id = request_id.rpartition("-")[0]
        if entry_id != self._entry_id:
            reason = f"the request went through {entry_id or 'no entry'}; ask its controller"
            return OperatorReply(False, "not_here", reason)
        lines = await self._async_query_entry(request_id)
        if not lines:
            reason = "the entry has no record of it: it is too old, or the entry restarted since"
            return OperatorReply(False, "not_found", reason)
        return OperatorReply(True, body={"request": request_id, "lines": lines})

    async def _async_query_entry(self, request_id: RequestId) -> list[str]:
        for link in list(self._links()):
            query_id = next(self._query_ids)
            self._pending[query_id] = asyncio.get_running_loop().create_future()
            try:
                await link.async_send(ExplainQuery(query_id, request_id))
                return await asyncio.wait_for(self._pending[query_id], ANSWER_TIMEOUT_S)
            except (TimeoutError, ToucandoorError):
                continue
            finally:
                del self._pending[query_id]
        return []
