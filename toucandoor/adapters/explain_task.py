"""Controller task that asks its entry what became of a request."""

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

ANSWER_WITHIN_S: Final = 2.0


class ExplainTask:
    """Passes operators' questions on to the entry and its answers back.

    Args:
        entry_id: The entry VM this controller is on.
        links: Returns the open links to its entry.
    """

    def __init__(self, entry_id: str, links: Callable[[], Iterable[Link]]) -> None:
        self._entry_id = entry_id
        self._links = links
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[list[str]]] = {}

    def take(self, answer: ExplainAnswer) -> None:
        """Take an entry's answer in; one that nobody waits for changes nothing."""
        waiting = self._waiting.get(answer.query_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.lines)

    async def async_explain_request(self, arguments: dict[str, Any]) -> OperatorReply:
        """Answer the command ``explain request``."""
        request_id = RequestId(str(arguments["request"]))
        entry_id = request_id.rpartition("-")[0]
        if entry_id != self._entry_id:
            reason = f"the request went through {entry_id or 'no entry'}; ask its controller"
            return OperatorReply(False, "not_here", reason)
        lines = await self._async_ask_entry(request_id)
        if not lines:
            reason = "the entry does not know it: too long ago, or it restarted since"
            return OperatorReply(False, "not_found", reason)
        return OperatorReply(True, body={"request": request_id, "lines": lines})

    async def _async_ask_entry(self, request_id: RequestId) -> list[str]:
        for link in list(self._links()):
            number = next(self._numbers)
            self._waiting[number] = asyncio.get_running_loop().create_future()
            try:
                await link.async_send(ExplainQuery(number, request_id))
                return await asyncio.wait_for(self._waiting[number], ANSWER_WITHIN_S)
            except (TimeoutError, ToucandoorError):
                continue
            finally:
                del self._waiting[number]
        return []
