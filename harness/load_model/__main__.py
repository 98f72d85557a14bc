"""Run a load simulation from a TOML file."""

import argparse
import json
import sys
from pathlib import Path

from harness.load_model.report import make_report
from harness.load_model.scenario import load_scenario
from harness.load_model.simulation import run_scenario
from persimmonhall.status import ExitStatus

EXAMPLES = """\
examples:
  cd harness/load_model/scenarios
  python -m harness.load_model hakepuu_surge.toml
  python -m harness.load_model vanua_surge.toml --json out.json"""


def main(arguments: list[str] | None = None) -> ExitStatus:
    """Run the simulation and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.load_model",
        description="Simulate a call graph under load in virtual time.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("scenario", type=Path, help="TOML file of the scenario")
    parser.add_argument(
        "--json", type=Path, metavar="FILE", help="also write the report as JSON"
    )
    given = parser.parse_args(arguments)
    try:
        scenario = load_scenario(given.scenario)
    except (OSError, ValueError) as error:
        print(f"{parser.prog}: error: {error}", file=sys.stderr)
        return ExitStatus.USAGE
    report = make_report(run_scenario(scenario))
    print(report.table())
    if given.json is not None:
        given.json.write_text(json.dumps(report.as_dict(), indent=1))
    return ExitStatus.SUCCESS


if __name__ == "__main__":
    sys.exit(main())
