"""Convert the platform's settings file to the product's settings."""

import json
from pathlib import Path

from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.dialect import read_address
from persimmonhall.platform.dialect import UNREADABLE_ERRORS
from persimmonhall.settings import (
    ControlSection,
    ControlSettings,
    NodeSection,
    NodeSettings,
    OrganisationsSection,
    PeersSection,
    ReleasesSection,
    with_frames_port,
)

# Must match deploy/system.toml: the settings file has no port for metrics.
METRICS_PORT = 9464


def read_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings of a node, or return a one-line error."""
    return _read_file(path, _to_node_settings)


def read_control_settings(path: Path) -> Result[ControlSettings, str]:
    """Read the settings of a control VM, or return a one-line error."""
    return _read_file(path, _to_control_settings)


def _read_file(path: Path, convert) -> Result:
    try:
        return Success(convert(json.loads(path.read_text(encoding="utf-8"))))
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error}")
    except KeyError as error:
        return Failure(f"{path}: missing key {error}")
    except UNREADABLE_ERRORS as error:
        return Failure(f"{path}: {error}")


def _to_node_settings(fields: dict) -> NodeSettings:
    listen = fields["listenAddresses"]
    bounds = _read_bounds(fields)
    return NodeSettings(
        NodeSection(
            name=fields["nodeName"],
            zone=fields["zone"],
            region=fields.get("region") or "default",
            callers=read_address(listen["outbound"]),
            local=read_address(listen["controlPlane"]),
            frames=_frames_address(fields),
        ),
        PeersSection(
            control=_read_seeds(fields),
            frames_port=_frames_address(fields).port,
        ),
        releases=ReleasesSection(
            ready=read_address(listen["ready"]),
            service=fields.get("service") or "",
            # The backend server on the node's machine, not a listener of the node.
            backend=_optional_address(fields.get("applicationAddress")),
            metrics=Address(fields["ipAddress"], METRICS_PORT),
            resend_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
            resend_slack=float(bounds.get("retryBudgetSlack", 50)),
            grace_s=float(bounds.get("gracePeriodS", 6)),
        ),
        organisations=_read_organisations(bounds),
    )


def _read_organisations(bounds: dict) -> OrganisationsSection:
    withdrawal_s = 0.0
    if _is_true(bounds.get("revokeWhenPartitioned", False)):
        withdrawal_s = float(bounds.get("revocationMs", 0)) / 1000
    defaults = OrganisationsSection()
    return OrganisationsSection(
        withdrawal_s=withdrawal_s,
        quota_window_s=float(bounds.get("quotaWindowS", defaults.quota_window_s)),
        quota_overshoot=float(bounds.get("quotaOvershoot", defaults.quota_overshoot)),
        quota_slack=float(bounds.get("quotaSlack", defaults.quota_slack)),
    )


def _is_true(value: object) -> bool:
    """Return whether a bound is true; bounds in a list are strings."""
    return value is True or str(value).lower() in ("true", "1")


def _to_control_settings(fields: dict) -> ControlSettings:
    section = ControlSection(
        name=fields["nodeName"],
        zone=fields["zone"],
        frames=_frames_address(fields),
        data_folder=fields["dataDirectory"],
        releases=read_address(fields["listenAddresses"]["controlPlane"]),
        # True only at the first start of the whole system, when the disks are empty.
        found=bool(fields.get("bootstrap")),
        # A control VM that is lost for good is replaced by one at another address.
        retire_replaced=True,
        peers=_read_seeds(fields),
        frames_port=_frames_address(fields).port,
    )
    return ControlSettings(with_frames_port(section))


def _read_seeds(fields: dict) -> tuple[Address, ...]:
    """Read the seeds; leave out those that can't be read unless none can."""
    seeds, error = [], None
    for text in fields["seedNodes"]:
        try:
            seeds.append(read_address(text))
        except ValueError as invalid:
            logging.warning("seed left out: %s", invalid)
            error = invalid
    if not seeds and error is not None:
        raise error
    return tuple(seeds)


def _frames_address(fields: dict) -> Address:
    """Return the address for frames: the first port of the internal range."""
    return Address(fields["ipAddress"], int(fields["internalPortRange"][0]))


def _optional_address(text: object) -> Address | None:
    return read_address(text) if text else None


def _read_bounds(fields: dict) -> dict[str, str]:
    """Read bounds given as a table or as a list of strings `name=value`."""
    bounds = fields.get("bounds") or {}
    if isinstance(bounds, dict):
        return bounds
    return dict(text.split("=", 1) for text in bounds)
