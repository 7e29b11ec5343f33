"""Tests of the proxy that treats connections as a bad link does."""

import unittest

import anyio

from hillthread.standin import wire_proxy


async def echo(stream):
    """Sends back what comes."""
    async with stream:
        async for data in stream:
            await stream.send(data)


class SilenceTest(unittest.TestCase):
    def test_open_connections_fall_silent_and_new_ones_work(self):
        async def story():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            ip, port = listener.extra(anyio.abc.SocketAttribute.local_address)
            proxy = wire_proxy.WireProxy(f"{ip}:{port}")
            host, proxy_port = proxy.address.split(":")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, echo)
                tasks.start_soon(proxy.serve)
                old = await anyio.connect_tcp(host, int(proxy_port))
                await old.send(b"before")
                self.assertEqual(await old.receive(), b"before")
                proxy.silence()
                await old.send(b"after")
                heard = None
                with anyio.move_on_after(0.1):
                    heard = await old.receive()
                self.assertIsNone(heard)  # neither bytes nor an end
                new = await anyio.connect_tcp(host, int(proxy_port))
                await new.send(b"new")
                self.assertEqual(await new.receive(), b"new")
                await old.aclose()
                await new.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(story)
