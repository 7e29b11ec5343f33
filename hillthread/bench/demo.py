"""The demonstration: real processes, both users' shapes, one explanation."""

from __future__ import annotations

import time
from typing import Any
from typing import NamedTuple

import anyio
import httpx

from hillthread import errors
from hillthread.bench import caller as caller_lib
from hillthread.bench import deployment
from hillthread.bench import percentiles
from hillthread.bench import processes
from hillthread.bench import workload as workload_lib
from hillthread.protocol import engine as engine_protocol
from hillthread.protocol import explanation

__all__ = ["run_demo"]

_ENGINES = 5
_DURATION_S = 12.0
_MAX_ANSWER = 24
_SEED = 7
_MEMORY_SHARE = 3
_ROUND_ROBIN = "round robin"
_HILLTHREAD = "hillthread"


class _Summary(NamedTuple):
    """What one policy achieved on one workload."""

    workload: str
    policy: str
    answers: list[caller_lib.Answer]
    wrong: int

    def line(self) -> str:
        """Returns a line of the table."""
        whole = [each for each in self.answers if each.complete]
        prompt = sum(each.prompt_tokens for each in whole)
        cached = sum(each.cached_tokens for each in whole)
        times = sorted(each.first_token_s or 0.0 for each in whole)
        return (
            f"{self.workload:<11}{self.policy:<13}{len(self.answers):>8}"
            f"{self.wrong:>7}{cached / max(1, prompt):>10.3f}"
            f"{percentiles.percentile(times, 0.5):>10.3f}"
            f"{percentiles.percentile(times, 0.99):>10.3f}"
            f"{prompt - cached:>12}"
        )


_HEADER = (
    f"{'workload':<11}{'policy':<13}{'requests':>8}{'wrong':>7}"
    f"{'hit rate':>10}{'p50 s':>10}{'p99 s':>10}{'computed':>12}"
)


def run_demo() -> None:
    """Runs the demonstration and prints its summary.

    Raises:
        HillthreadError: An answer was wrong or incomplete.
    """
    with processes.ProcessGroup() as group:
        anyio.run(_run, group)


async def _run(group: processes.ProcessGroup) -> None:
    lines = []
    wrong = 0
    text = ""
    for name, shape in workload_lib.SHAPES.items():
        engines = _start_engines(group, shape)
        router = _start_router(group, engines, shape)
        trace = workload_lib.make_trace(shape, _SEED, _DURATION_S)
        print(f"{name}: {len(trace)} prompts, {_ENGINES} engines", flush=True)
        keyed = {
            f"org{number}": caller_lib.Caller(
                router.addresses["callers"],
                deployment.tenant_key(f"org{number}"),
            )
            for number in range(len(shape.contexts))
        }
        by_router = await _replay(
            trace, lambda number, org, keyed=keyed: keyed[org]
        )
        lines.append(_Summary(name, _HILLTHREAD, *by_router))
        text = await _explain(router, by_router[0][-1])
        for address in engines:
            await _crash(address)
        direct = [caller_lib.Caller(address) for address in engines]
        in_turn = await _replay(
            trace, lambda number, org, all=direct: all[number % len(all)]
        )
        lines.append(_Summary(name, _ROUND_ROBIN, *in_turn))
        for each in [*keyed.values(), *direct]:
            await each.close()
    print()
    print(_HEADER)
    for summary in lines:
        print(summary.line())
        wrong += summary.wrong
    print("\nWhy did one request go where it did?\n")
    print(text)
    if wrong:
        raise errors.HillthreadError(
            f"{wrong} answers were wrong or incomplete.",
            "Read the logs of the router and the engines.",
        )


def _start_engines(
    group: processes.ProcessGroup, shape: workload_lib.Shape
) -> list[str]:
    tokens = workload_lib.prefix_tokens(shape) // _MEMORY_SHARE
    settings = {"cache_blocks": tokens // _ENGINES // 16}
    started = [
        group.start_later("standin", settings, "engine")
        for _ in range(_ENGINES)
    ]
    for process in started:
        process.wait_listening()
    return [process.addresses["standin"] for process in started]


def _start_router(
    group: processes.ProcessGroup,
    engines: list[str],
    shape: workload_lib.Shape,
) -> processes.Process:
    objects = deployment.make_objects(
        engines,
        [f"org{number}" for number in range(len(shape.contexts))],
        shape.recompute_weight,
    )
    return group.start("router", deployment.router_settings(group, objects))


async def _replay(
    trace: list[workload_lib.Arrival], choose: Any
) -> tuple[list[caller_lib.Answer], int]:
    """Returns all answers and how many were not as they should be."""
    calls = []
    expected = []
    for number, arrival in enumerate(trace):
        messages = _messages(arrival)
        tokens = min(arrival.answer_tokens, _MAX_ANSWER)
        caller = choose(number, arrival.organisation)
        fields = {"cache_salt": arrival.organisation}
        calls.append((arrival.at_s, _call(caller, messages, tokens, fields)))
        expected.append(caller_lib.expected_text(messages, tokens, "w1"))
    async with anyio.create_task_group() as group:
        group.start_soon(_progress, _DURATION_S)
        answers = await caller_lib.gather_at(time.monotonic(), calls)
        group.cancel_scope.cancel()
    wrong = sum(
        not answer.complete or answer.text != text
        for answer, text in zip(answers, expected, strict=True)
    )
    return answers, wrong


def _call(
    caller: caller_lib.Caller,
    messages: list[dict[str, str]],
    tokens: int,
    fields: dict[str, str],
) -> Any:
    return lambda: caller.ask(messages, tokens, **fields)


async def _progress(duration_s: float) -> None:
    for second in range(0, int(duration_s), 4):
        print(f"  {second} s", flush=True)
        await anyio.sleep(4)


def _messages(arrival: workload_lib.Arrival) -> list[dict[str, str]]:
    roles = ("system", "system", "user")
    return [
        {"role": role, "content": text}
        for role, text in zip(roles, arrival.messages, strict=True)
    ]


async def _crash(address: str) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(
            f"http://{address}/control",
            json={"crash": True},
            headers={engine_protocol.REQUEST_ID: "crash"},
        )


async def _explain(router: processes.Process, answer: caller_lib.Answer) -> str:
    status = router.addresses["status"]
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.get(
            f"http://{status}/v1/records?request_id={answer.request_id}",
            headers=deployment.secret_header(),
        )
    return explanation.explain(response.json()[0])
