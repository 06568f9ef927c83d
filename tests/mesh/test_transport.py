"""Guards against delayed small messages (Nagle) and against tasks that outlive their loop."""

import asyncio
import socket

from jacinthcove.address import split_address
from jacinthcove.mesh.transport import LoopThread, listener_address, open_listener


def test_accepted_connections_have_tcp_nodelay():
    async def nodelay_of_accepted() -> int:
        accepted: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def on_connect(reader, writer):
            sock = writer.get_extra_info("socket")
            accepted.set_result(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            writer.close()

        listener = open_listener("127.0.0.1:0")
        server = await asyncio.start_server(on_connect, sock=listener)
        async with server:
            _, writer = await asyncio.open_connection(*split_address(listener_address(listener)))
            option = await accepted
            writer.close()
            return option

    assert asyncio.run(nodelay_of_accepted()) != 0


def test_no_task_is_left_pending_on_a_closed_loop():
    async def start_task() -> asyncio.Task[None]:
        return asyncio.create_task(asyncio.sleep(60))

    thread = LoopThread()
    thread.start()
    task = thread.run(start_task(), timeout_s=5)
    thread.close()
    assert task.cancelled()
