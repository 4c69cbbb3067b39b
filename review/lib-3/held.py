"""A link whose bytes a partition holds up: a proxy between a worker and a control node."""

import asyncio

ROUND_TRIP_S = 0.005


class Link:
    """Passes connections on to `target`. While it is cut, nothing passes: what was sent is held, and
    new connections get no answer. After it has healed, new connections work at once; the bytes of a
    connection that was cut come when their sender sends them again, `again_s` later, and the end of
    the connection a round trip after them."""

    def __init__(self, target, record):
        self.target, self.record, self.cut, self.again_s = target, record, False, 0.0
        self.healed = asyncio.Event()
        self.healed.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.healed.clear()
        else:
            self.healed.set()

    async def serve(self, reader, writer):
        try:
            if self.cut:
                await self.healed.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def pump(self, reader, writer):
        try:
            while True:
                part = await reader.read(65536)
                if self.cut:
                    await self.healed.wait()
                    if part:
                        await asyncio.sleep(self.again_s)
                        self.record.line(f"held bytes pass {self.target[0]}: {part[:40]}")
                if not part:
                    await asyncio.sleep(ROUND_TRIP_S)
                    break
                writer.write(part)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()
