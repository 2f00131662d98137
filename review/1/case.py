"""TWICE: servers lose answers to requests that are not idempotent by the route that the page selects."""

import asyncio
import random

import mesh as stand_ins
from mesh import CannotRun, Server, document, main, request, route

HOST = "desk.example"
# Begins with the prefix /orders/, which is not idempotent, and not with /orders/drafts/.
PATH = "/orders/drafts"
# The disruption `answer_lost`: one server of three loses the answers of a part of what it runs.
LOST_PART = 0.3
FOR_S = 4.0
REQUESTS = 90


class LosingServer(Server):
    """Runs a request and, with some chance, resets the connection in place of the answer."""

    loses = False

    def write(self, writer, status, headers, body):
        if self.loses and status == 200 and self.random.random() < LOST_PART:
            name = dict(headers)["Request-Attempt-Id"]
            self.record(f"server {self.id} ({self.service}): the answer of {name} is lost")
            writer.transport.abort()
            return
        Server.write(writer, status, headers, body)

    random = random.Random(1)


stand_ins.Server = LosingServer


async def send(mesh, number):
    name = f"order-{number}"
    daemon = mesh.daemons[number % len(mesh.daemons)]
    answer = await request(daemon, "POST", HOST, PATH, name, work_ms=100, body=b"speech")
    mesh.record(f"client: {name}, POST {PATH} on {daemon.name}, is answered with {answer and answer[0]}")
    return name


async def case(mesh, trouble):
    machines = [("vm-a", "sthlm-a", "sthlm", "orders"), ("vm-b", "sthlm-a", "sthlm", "orders"),
                ("vm-c", "sthlm-b", "sthlm", "orders")]
    routes = [route("orders", "/orders/", "orders", "non_idempotent"),
              route("drafts", "/orders/drafts/", "orders", "idempotent")]
    await mesh.start(machines, document(3, ["orders"], HOST, routes))
    await mesh.settle(HOST, ["/orders/drafts/1"])
    if trouble:
        mesh.record(f"server {mesh.servers[1].id}: loses the answers of {LOST_PART} of what it runs from now on")
        mesh.servers[1].loses = True
    names = []
    for number in range(REQUESTS):
        names.append(asyncio.create_task(send(mesh, number)))
        await asyncio.sleep(FOR_S / REQUESTS)
    mesh.servers[1].loses = False
    twice = []
    for name in await asyncio.gather(*names):
        ran = [server.id for server in mesh.servers for run, _ in server.runs if run == name]
        if len(ran) > 1:
            twice.append(name)
            mesh.record(f"{name} is not idempotent and ran {len(ran)} times: on {ran}")
    if sum(len(server.runs) for server in mesh.servers) < REQUESTS // 2:
        raise CannotRun("most requests did not run")
    mesh.record(f"{len(twice)} of {REQUESTS} requests that are not idempotent ran more than once")
    return bool(twice)


main(case)
