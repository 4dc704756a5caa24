"""Stand-in for the platform's metadata store, after PROTOCOL.md."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http11


class Store:
    def __init__(self):
        self.revision, self.items, self.leases, self.last_lease = 1, {}, {}, 0
        self.log = []  # (revision, event)
        self.changed = asyncio.Event()

    def server(self, fault=None, rewrite=None):
        """Returns a server of the store for one machine. While `fault()` is true, it rejects every call with 503; the other machines
        are served. `rewrite` gets the items that are read."""
        async def handle(method, target, headers, body):
            if fault and fault():
                return 503, {}
            status, answer = await self.handle(method, target, body)
            if rewrite and "items" in answer:
                answer = {**answer, "items": rewrite(answer["items"])}
            return status, answer
        return http11.Server(handle)

    def write(self, key, value):
        """Writes a key as the operator does."""
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "removed": True})

    def note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def handle(self, method, target, body):
        self.expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(body or b"{}")
        path = parts.path
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path == "/v1/kv-txn":
            return self.transact(body)
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [event for event in self.log if event["revision"] > after and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("precondition", []):
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": []}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in body.get("put", [])):
            return 404, {}
        for put in body.get("put", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
