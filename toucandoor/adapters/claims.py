"""Claims of idempotency keys between entries, over HTTP with JSON."""

from __future__ import annotations

import hmac
import logging
import threading
from typing import TYPE_CHECKING

import msgspec
import urllib3

from toucandoor.adapters.wsgi import make_server, respond, respond_json
from toucandoor.core.attempts.ownership import (
    ClaimCall,
    ClaimRefusal,
    ClaimReply,
    IdempotencyOwner,
    SubmissionKey,
)
from toucandoor.ids import EntryId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cheroot import wsgi

    from toucandoor.adapters.settings import EntrySettings
    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.clock import Clock

_LOGGER = logging.getLogger(__name__)
_PREFIX = "claims:"
PATH = "/v1/claims"
THREADS = 8
CALL_TIMEOUT_S = 1.0
CALL_BYTES_MAX = 64 * 1024


class OwnedClaims:
    """Claims on the idempotency keys that this entry owns; safe to use from many threads."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        now_s = clock.now().timestamp()
        self._owner = IdempotencyOwner(settings.entry_id, since_s=now_s)
        entries = [peer.partition("=")[0] for peer in settings.claims_peers]
        self._owner.update_entries([EntryId(entry) for entry in entries], now_s)

    def owner_of(self, key: SubmissionKey) -> EntryId:
        """Return the entry that owns a key."""
        with self._lock:
            return self._owner.owner_of(key)

    def handle(self, call: ClaimCall) -> ClaimReply:
        """Execute a claimant's message and return the reply."""
        with self._lock:
            return self._owner.handle(call, self._clock.now().timestamp())


class ClaimClient:
    """Sends claims to the owners of their keys."""

    def __init__(self, settings: EntrySettings, owned: OwnedClaims) -> None:
        self.entry_id = settings.entry_id
        self._owned = owned
        self._secret = settings.peer_secret.get_secret_value()
        peers = (peer.partition("=") for peer in settings.claims_peers)
        self._addresses = {EntryId(entry): address for entry, _, address in peers}
        # With addresses missing, an entry unknown here may own a key and have run its request.
        self._peers_missing = settings.entries_total > len(self._addresses) + 1
        self._http = urllib3.PoolManager(maxsize=THREADS, retries=False, timeout=CALL_TIMEOUT_S)

    def owner_of(self, key: SubmissionKey) -> EntryId:
        """Return the entry that owns a key."""
        return self._owned.owner_of(key)

    def call(self, call: ClaimCall) -> ClaimReply | None:
        """Send a message to the key's owner and return its reply; None when there is none."""
        if self._peers_missing:
            return None
        owner = self._owned.owner_of(call.key)
        if owner == self.entry_id:
            return self._owned.handle(call)
        try:
            answer = self._http.request(
                "POST",
                f"http://{self._addresses[owner]}{PATH}",
                body=msgspec.json.encode(call),
                headers={"Authorization": f"Bearer {self._secret}"},
            )
            if answer.status == 200:
                return msgspec.json.decode(answer.data, type=ClaimReply)
            _LOGGER.warning("%s owner %s answered with status %s", _PREFIX, owner, answer.status)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as err:
            _LOGGER.warning("%s owner %s is unreachable: %s", _PREFIX, owner, err)
        return None


class ClaimsApp:
    """WSGI application that receives other entries' claims."""

    def __init__(self, owned: OwnedClaims, secret: str) -> None:
        self._owned = owned
        self._expected = f"Bearer {secret}".encode()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one claim."""
        authorization = str(environ.get("HTTP_AUTHORIZATION", "")).encode()
        if not hmac.compare_digest(authorization, self._expected):
            return respond_json(start_response, 401, {"reason": "wrong peer secret"})
        if environ["PATH_INFO"] != PATH or environ["REQUEST_METHOD"] != "POST":
            return respond_json(start_response, 404, {"reason": "no such call"})
        try:
            body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
            call = msgspec.json.decode(body, type=ClaimCall)
        except (msgspec.MsgspecError, ValueError) as err:
            return respond_json(start_response, 400, {"reason": str(err)})
        reply = self._owned.handle(call)
        if reply.refusal is ClaimRefusal.NOT_OWNER:
            _LOGGER.warning(
                "%s %s sent a claim for a key that this entry does not own", _PREFIX, call.entry
            )
        return respond(start_response, 200, msgspec.json.encode(reply), "application/json")


def make_claims_servers(settings: EntrySettings, owned: OwnedClaims) -> list[wsgi.Server]:
    """Return the server for claims, not yet started; no server where no address is set."""
    if settings.claims_address is None:
        return []
    app = ClaimsApp(owned, settings.peer_secret.get_secret_value())
    server = make_server(settings.claims_address, app, THREADS)
    server.max_request_body_size = CALL_BYTES_MAX
    return [server]
