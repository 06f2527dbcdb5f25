"""The controller's side of the operators' commands."""

from __future__ import annotations

import hashlib
import logging
import secrets
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError

from toucandoor.adapters.in_force_task import pending_to_json
from toucandoor.core.configuration.models import Configuration, KeyConfig, TeamConfig
from toucandoor.exceptions import StoreConflictError, StoreError, ToucandoorError
from toucandoor.ids import EntryId, KeyId, TeamId
from toucandoor.messages import OperatorReply, OperatorRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from toucandoor.adapters.configuration_task import ConfigurationTask, Head
    from toucandoor.adapters.in_force_task import InForceTask
    from toucandoor.adapters.slots_task import SlotsTask

_LOGGER = logging.getLogger(__name__)
_PREFIX = "operator:"


class OperatorError(ToucandoorError):
    """A command was refused.

    Args:
        name: Machine-readable name of the error.
        reason: Description for the operator.
    """

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(reason, step="operator")
        self.name = name


class OperatorApi:
    """Executes the operators' commands; itself those on the configuration, keys and entry VMs.

    Args:
        accept_wait_s: Maximum time in seconds that a command waits for a change to be in force.
        status: Returns the controller's current state as plain JSON types.
    """

    def __init__(
        self,
        configuration: ConfigurationTask,
        in_force: InForceTask,
        slots: SlotsTask,
        accept_wait_s: float,
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self._configuration = configuration
        self._in_force = in_force
        self._slots = slots
        self._accept_wait_s = accept_wait_s
        self._status = status
        self._actions: dict[str, Callable[[dict[str, Any]], Awaitable[OperatorReply]]] = {
            "apply": self._async_apply,
            "configuration": self._async_configuration,
            "status": self._async_status,
            "key_grant": self._async_key_grant,
            "key_withdraw": self._async_key_withdraw,
            "entry_remove": self._async_entry_remove,
        }

    def register(
        self, name: str, action: Callable[[dict[str, Any]], Awaitable[OperatorReply]]
    ) -> None:
        """Add a command that another task executes."""
        self._actions[name] = action

    async def async_handle(self, request: OperatorRequest, operator: str) -> OperatorReply:
        """Execute one command; errors are returned as replies."""
        action = self._actions.get(request.action)
        if action is None:
            return OperatorReply(False, "unknown_command", f"no command {request.action!r}")
        try:
            reply = await action(request.arguments)
        except OperatorError as err:
            reply = OperatorReply(False, err.name, err.reason)
        except StoreConflictError as err:
            reply = OperatorReply(False, "conflict", err.reason)
        except StoreError as err:
            reply = OperatorReply(False, "store", str(err))
        except (KeyError, TypeError, ValueError, ValidationError) as err:
            reply = OperatorReply(False, "bad_arguments", f"{type(err).__name__}: {err}")
        _LOGGER.info(
            "%s command ended",
            _PREFIX,
            extra={"action": request.action, "operator": operator, "error": reply.error},
        )
        return reply

    async def _async_apply(self, arguments: dict[str, Any]) -> OperatorReply:
        proposed = Configuration.model_validate(arguments["configuration"])
        current = self._current_configuration()
        if current is not None:
            proposed = _with_key_changes(current, proposed)
        head = await self._configuration.async_propose(
            int(arguments["base_version"]), proposed, str(arguments.get("change_id", ""))
        )
        return OperatorReply(True, body=await self._async_wait_accepted(head))

    async def _async_wait_accepted(self, head: Head) -> dict[str, Any]:
        """Wait until a version is in force at all entries.

        Returns:
            The version, and the entries that it is still pending for after ``accept_wait_s``.
        """
        record = self._configuration.record
        pending = await self._in_force.async_wait_accepted(record, self._accept_wait_s)
        if not pending:
            before = self._configuration.recent_record(record.version - 1)
            await self._configuration.async_delete_unused_parts(before, self._configuration.record)
        return {"version": head.content_version, "pending": pending_to_json(pending)}

    async def _async_configuration(self, arguments: dict[str, Any]) -> OperatorReply:
        head = self._configuration.head
        if head is None:
            return OperatorReply(True, body={"version": 0, "configuration": {}})
        dumped = head.configuration.model_dump(mode="json")
        body = {"version": head.content_version, "configuration": dumped}
        return OperatorReply(True, body=body)

    async def _async_status(self, arguments: dict[str, Any]) -> OperatorReply:
        return OperatorReply(True, body=self._status())

    async def _async_key_grant(self, arguments: dict[str, Any]) -> OperatorReply:
        team_id, key_id = TeamId(arguments["team"]), KeyId(arguments["key"])
        head = self._configuration.head
        if head is None or team_id not in head.configuration.teams:
            raise OperatorError("not_found", f"no such team: {team_id}")
        team = head.configuration.teams[team_id]
        taken = key_id in head.configuration.withdrawn_keys or _team_with_key(
            head.configuration, key_id
        )
        if taken:
            raise OperatorError("conflict", f"key {key_id} exists or was withdrawn")
        secret = secrets.token_urlsafe(32)
        key = KeyConfig(sha256=hashlib.sha256(secret.encode()).hexdigest())
        changed = team.model_copy(update={"keys": team.keys | {key_id: key}})
        configuration = _with_team(head.configuration, team_id, changed)
        written = await self._configuration.async_propose(head.content_version, configuration)
        body = {**await self._async_wait_accepted(written), "secret": secret}
        return OperatorReply(True, body=body)

    async def _async_key_withdraw(self, arguments: dict[str, Any]) -> OperatorReply:
        key_id = KeyId(arguments["key"])
        head = self._configuration.head
        owner = _team_with_key(head.configuration, key_id) if head else None
        if head is None or owner is None:
            raise OperatorError("not_found", f"no such key: {key_id}")
        key = head.configuration.teams[owner].keys[key_id]
        withdrawn = head.configuration.withdrawn_keys | {key_id: key}
        configuration = head.configuration.model_copy(update={"withdrawn_keys": withdrawn})
        written = await self._configuration.async_propose(head.content_version, configuration)
        return OperatorReply(True, body=await self._async_wait_accepted(written))

    async def _async_entry_remove(self, arguments: dict[str, Any]) -> OperatorReply:
        entry = EntryId(arguments["entry"])
        if not await self._slots.async_remove(entry, self._accept_wait_s):
            raise OperatorError("not_found", f"no such entry VM: {entry}")
        return OperatorReply(True, body={"entry": entry})

    def _current_configuration(self) -> Configuration | None:
        head = self._configuration.head
        return head.configuration if head else None


def _with_team(configuration: Configuration, team_id: TeamId, team: TeamConfig) -> Configuration:
    return configuration.model_copy(update={"teams": configuration.teams | {team_id: team}})


def _team_with_key(configuration: Configuration, key_id: KeyId) -> TeamId | None:
    """Return the team that has a key with this id."""
    teams = configuration.teams.items()
    return next((team_id for team_id, team in teams if key_id in team.keys), None)


def _with_key_changes(current: Configuration, proposed: Configuration) -> Configuration:
    """Return the proposed configuration with all keys that commands granted or withdrew.

    The operators' folder does not hold keys granted by command, and applying it must not make a
    withdrawn key valid again.
    """
    teams = dict(proposed.teams)
    for team_id, team in current.teams.items():
        if team_id in teams:
            keys = team.keys | teams[team_id].keys
            teams[team_id] = teams[team_id].model_copy(update={"keys": keys})
    withdrawn = proposed.withdrawn_keys | current.withdrawn_keys
    return proposed.model_copy(update={"teams": teams, "withdrawn_keys": withdrawn})
