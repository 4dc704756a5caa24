"""A proxy in the place of a network link. It can hold up all bytes, as a partition does."""

import asyncio


class Channel:
    """One forwarded channel: the connection of the client and the one to the server."""

    def __init__(self, link, client, server):
        self.link, self.client, self.server = link, client, server
        self.client_reader, self.client_writer = client
        self.server_reader, self.server_writer = server
        self.client_is_gone = False

    async def forward_to_server(self):
        while True:
            try:
                data = await self.client_reader.read(65536)
            except ConnectionError:
                data = b""
            if not data:
                self.client_is_gone = True
                # What the client's host sends while the link is cut is lost, its FIN or RST too.
                if not self.link.is_cut:
                    self.server_writer.transport.abort()
                return
            await self.link.wait_healed()
            self.server_writer.write(data)

    async def forward_to_client(self):
        while True:
            try:
                data = await self.server_reader.read(65536)
            except ConnectionError:
                data = b""
            await self.link.wait_healed()
            if not data:
                self.client_writer.transport.abort()
                return
            if self.client_is_gone:
                # The client's host knows the channel no more and resets it.
                self.server_writer.transport.abort()
                return
            self.client_writer.write(data)


class Link:
    """Forwards channels from its own address to a server."""

    def __init__(self, site, name, ip, port, server_ip, server_port):
        self.site, self.name, self.ip, self.port, self.server = site, name, ip, port, (server_ip, server_port)
        self.is_cut, self.healed = False, asyncio.Event()
        self.healed.set()

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.ip, self.port, reuse_address=True)

    async def accept(self, reader, writer):
        await self.wait_healed()
        try:
            server = await asyncio.open_connection(*self.server)
        except OSError:
            return writer.transport.abort()
        channel = Channel(self, (reader, writer), server)
        await asyncio.gather(channel.forward_to_server(), channel.forward_to_client())

    async def wait_healed(self):
        await self.healed.wait()

    def cut(self):
        self.is_cut = True
        self.healed.clear()
        self.site.record(f"link {self.name} cut")

    def heal(self):
        self.is_cut = False
        self.healed.set()
        self.site.record(f"link {self.name} healed")


class MeshLink:
    """A proxy before an entry. Its channels to machines of other zones can be cut. The zone of the machine that has opened a channel
    stands in the first frame that it sends, the hello."""

    HELLO_BYTES = 4096

    def __init__(self, site, entry, ip, port):
        self.site, self.entry, self.ip, self.port = site, entry, ip, port
        self.cut_zone, self.healed = None, asyncio.Event()
        self.healed.set()

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.ip, self.port, reuse_address=True)

    def cut(self, zone):
        self.cut_zone = zone
        self.healed.clear()

    def heal(self):
        self.cut_zone = None
        self.healed.set()

    def crosses(self, zone):
        return self.cut_zone is not None and (zone == self.cut_zone) != (self.entry.zone == self.cut_zone)

    async def accept(self, reader, writer):
        # What is opened during a partition is held up until its end, whatever its zone.
        await self.healed.wait()
        try:
            server_reader, server_writer = await asyncio.open_connection(self.entry.ip, self.port)
        except OSError:
            return writer.transport.abort()
        state = {"zone": None, "head": b""}

        async def forward(source, target, is_from_client):
            while True:
                try:
                    data = await source.read(65536)
                except ConnectionError:
                    data = b""
                if is_from_client and state["zone"] is None and len(state["head"]) < self.HELLO_BYTES:
                    state["head"] += data
                    state["zone"] = next((zone for zone in self.site.zones if zone.encode() in state["head"]), None)
                while self.crosses(state["zone"]):
                    await self.healed.wait()
                if not data:
                    return target.transport.abort()
                try:
                    target.write(data)
                except ConnectionError:
                    return
        await asyncio.gather(forward(reader, server_writer, True), forward(server_reader, writer, False))
