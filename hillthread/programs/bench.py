"""`hillthread-bench`: comparisons, cost measurements, demos and soak tests."""

from __future__ import annotations

import pathlib

import msgspec

from hillthread import errors
from hillthread.bench import compare as compare_lib
from hillthread.bench import control_cost
from hillthread.bench import control_times
from hillthread.bench import demo as demo_lib
from hillthread.bench import gateway_demo as gateway_demo_lib
from hillthread.bench import limits as limits_lib
from hillthread.bench import overhead as overhead_lib
from hillthread.bench import report as report_lib
from hillthread.bench import slopes as slopes_lib
from hillthread.bench import soak as soak_lib
from hillthread.bench.faults import runner
from hillthread.bench.gateway_soak import fleet_return
from hillthread.bench.gateway_soak import regressions
from hillthread.bench.gateway_soak import runner as gateway_soak_lib
from hillthread.bench.gateway_soak import series
from hillthread.bench.gateway_soak import stream_return
from hillthread.transport import command

__all__ = ["main"]


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())


def compare(
    workload: str,
    seed: int = 1,
    json: bool = True,
    routers: int = 1,
    talk_s: float = 0.0,
    crashes: int = 0,
    duration_s: float = 120.0,
) -> None:
    """Compares the routing policies on one trace.

    Args:
        workload: `prairie` or `wetterwerk`.
        seed: Seed of the trace.
        json: Print one JSON object; otherwise one line for each policy.
        routers: Number of routers that share the load.
        talk_s: Interval in seconds at which a router sends messages to the
            others; 0 for routers that send none.
        crashes: Number of engines that crash during the trace.
        duration_s: Length of the trace in seconds.
    """
    setup = compare_lib.Setup(
        workload,
        seed,
        routers=routers,
        talk_s=talk_s,
        crashes=crashes,
        duration_s=duration_s,
    )
    result = compare_lib.compare(setup)
    if json:
        _print_json(result["policies"])
        return
    for name, values in result["policies"].items():
        print(name, values)


def demo() -> None:
    """Runs requests through a router and engines, all on loopback."""
    demo_lib.run_demo()


def gateway_demo() -> None:
    """Runs gateways on a platform that provides a store, all on loopback."""
    gateway_demo_lib.run_gateway_demo()


def report(
    journal: str = "journal", output: str = "target/report.html"
) -> None:
    """Writes an HTML report of all runs recorded in the journal.

    Args:
        journal: Folder of the journal entries.
        output: Path of the HTML page.
    """
    path = pathlib.Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    count = report_lib.write_report(pathlib.Path(journal), path)
    print(f"{count} runs reported in {path}")


def overhead(json: bool = True) -> None:
    """Measures the overhead of the router for each request and token.

    Args:
        json: Print JSON; otherwise one line for each figure.
    """
    costs = overhead_lib.measure_overhead()
    result = {name: cost._asdict() for name, cost in costs.items()}
    if json:
        _print_json(result)
        return
    for name, value in result.items():
        print(f"{name}: {value}")


def limits(seed: int = 1) -> None:
    """Measures how accurately an organisation's limit is enforced.

    Args:
        seed: Seed of the arrival times.
    """
    for pattern, ways in limits_lib.measure_limits(seed).items():
        for way, result in ways.items():
            print(pattern, way, msgspec.json.encode(result._asdict()).decode())


def control() -> None:
    """Measures how long configuration changes and restarts take on 8 hosts."""
    times = control_times.measure_control_times()
    for name, value in times._asdict().items():
        print(f"{name}: {value:.3f}")


def soak(seconds: float = 600.0, seed: int = 1) -> None:
    """Runs both workloads on 8 hosts under random faults and checks guarantees.

    Args:
        seconds: Duration of the run.
        seed: Seed of the arrivals and faults.
    """
    report = soak_lib.run_soak(seconds, seed)
    for name, value in report._asdict().items():
        print(f"{name}: {value}")
    if report.violations:
        raise errors.HillthreadError(
            f"{len(report.violations)} guarantees were violated.",
            "Repeat the run with the same seed and read the logs.",
        )


def gateway_soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    hosts: int = 3,
    engines: int = 3,
    callers: int = 8,
    faults: str | tuple[str, ...] = "",
    keep: str = "",
) -> None:
    """Runs gateway processes under random faults and checks their guarantees.

    Args:
        seed: First seed of load and faults.
        seeds: Number of consecutive seeds to run.
        seconds: How long new faults begin in each run.
        hosts: Number of gateways.
        engines: Number of engines; three plain targets are added to them.
        callers: Number of concurrent callers.
        faults: Kinds of faults, separated by commas; empty for all.
        keep: Folder for the logs of runs that violated a guarantee.
    """
    # fire passes a string for one value and a tuple for several.
    if isinstance(faults, str):
        faults = (faults,) if faults else ()
    series.run_series(
        gateway_soak_lib.SoakPlan(
            each, seconds, hosts, engines, callers, faults, keep=keep
        )
        for each in range(seed, seed + seeds)
    )


def gateway_soak_again(keep: str = "") -> None:
    """Repeats seeds that violated a guarantee in `gateway-soak` before.

    Args:
        keep: Folder for the logs of runs that violated a guarantee.
    """
    series.run_series(
        gateway_soak_lib.SoakPlan(
            each.seed,
            each.seconds,
            each.hosts,
            each.engines,
            each.callers,
            each.faults,
            keep=keep,
            without=each.without,
        )
        for each in regressions.REGRESSIONS
    )


def gateway_return(
    seed: int = 1,
    hosts: int = 24,
    cores: int = 0,
    rounds: int = 1,
    requests_per_s: float = 60.0,
    recover_s: float = 15.0,
) -> None:
    """Kills all gateways at once and judges how soon callers are served again.

    Args:
        seed: Seed of the load.
        hosts: Number of gateways.
        cores: Processor cores that the gateways share; 0 for all.
        rounds: Number of times that all gateways are killed.
        requests_per_s: Rate of the callers' requests.
        recover_s: Time after which callers must be served, in seconds.
    """
    reports = fleet_return.run_return(
        fleet_return.ReturnPlan(
            seed,
            hosts,
            cores=cores,
            rounds=rounds,
            requests_per_s=requests_per_s,
            recover_s=recover_s,
        )
    )
    for report in reports:
        _print_json(report._asdict())
    late = sum(report.is_late for report in reports)
    if late:
        raise errors.HillthreadError(
            f"Callers were served too late after {late} of {rounds} returns.",
            "Read the stages in the `ready` lines of the gateways' logs.",
        )


def gateway_stream_return(
    seed: int = 1,
    hosts: int = 8,
    rounds: int = 1,
    release_leaves_s: float | None = None,
    store_away_s: float = 0.0,
) -> None:
    """Kills all gateways while streams are open and judges how these go on.

    Args:
        seed: Seed of the load.
        hosts: Number of gateways.
        rounds: Number of times that all gateways are killed.
        release_leaves_s: From the kill until the engines of one of two releases
            leave, in seconds; not given if they stay.
        store_away_s: Time for which the store is away after the kill, seconds.
    """
    reports = stream_return.run_stream_return(
        stream_return.StreamReturnPlan(
            seed,
            hosts,
            rounds=rounds,
            release_leaves_s=release_leaves_s,
            store_away_s=store_away_s,
        )
    )
    for report in reports:
        _print_json(report._asdict())
    bad = sum(report.is_joined or report.is_lost for report in reports)
    if bad:
        raise errors.HillthreadError(
            f"Streams were joined or lost in {bad} of {rounds} returns.",
            "Read the `reconnect` lines in the gateways' logs.",
        )


def slopes(json: bool = True, seconds: float = 10.0) -> None:
    """Measures the cost of one more object, target, record, message and so on.

    Args:
        json: Print JSON; otherwise one line for each slope.
        seconds: How long the control processes are measured at each number of
            hosts.
    """
    result: dict[str, object] = {
        name: slope._asdict()
        for name, slope in slopes_lib.measure_slopes().items()
    }
    for hosts_each in (1, 4):
        cost = control_cost.measure_control(hosts_each, seconds)
        result[f"control_of_{cost.hosts}_hosts"] = cost._asdict()
    if json:
        _print_json(result)
        return
    for name, values in result.items():
        print(f"{name}: {values}")


def faults(
    seed: int = 1, sample: int = 0, page: str = "docs/FAULTS.md"
) -> None:
    """Runs the fault matrix with real processes.

    Args:
        seed: Seed of the sample.
        sample: Number of cells to run of each part of the matrix; 0 runs all
            cells and writes the page.
        page: Path of the page with the results.
    """
    report = runner.run_matrix(seed, sample, "" if sample else page)
    print(report.totals())
    if report.violations:
        raise errors.HillthreadError(
            f"{report.violations} cells violated their guarantee.",
            "Repeat the run with the same --seed and read the processes' logs.",
        )


def main() -> None:
    """Runs the console script."""
    command.run_command(
        {
            "compare": compare,
            "control": control,
            "demo": demo,
            "faults": faults,
            "gateway-demo": gateway_demo,
            "gateway-return": gateway_return,
            "gateway-stream-return": gateway_stream_return,
            "gateway-soak": gateway_soak,
            "gateway-soak-again": gateway_soak_again,
            "limits": limits,
            "overhead": overhead,
            "report": report,
            "slopes": slopes,
            "soak": soak,
        }
    )


if __name__ == "__main__":
    main()
