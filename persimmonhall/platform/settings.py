"""Decode the platform's settings file into the product's settings."""

import json
from pathlib import Path

from returns.result import Failure, Result, Success

from persimmonhall.address import Address
from persimmonhall.dialect import read_address
from persimmonhall.settings import (
    ControlSection,
    ControlSettings,
    NodeSection,
    NodeSettings,
    PeersSection,
    ReleasesSection,
    with_frames_port,
)

# As deploy/system.toml says; outside the ports that the settings name.
METRICS_PORT = 9464


def read_node_settings(path: Path) -> Result[NodeSettings, str]:
    """Read the settings of a node, or return one line on what is wrong."""
    return _read(path, _node_settings)


def read_control_settings(path: Path) -> Result[ControlSettings, str]:
    """Read the settings of a control VM, or return one line on what is wrong."""
    return _read(path, _control_settings)


def _read(path: Path, convert) -> Result:
    try:
        return Success(convert(json.loads(path.read_text(encoding="utf-8"))))
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error}")
    except KeyError as error:
        return Failure(f"{path}: missing key {error}")
    except (ValueError, TypeError) as error:
        return Failure(f"{path}: {error}")


def _node_settings(fields: dict) -> NodeSettings:
    listen = fields["listenAddresses"]
    bounds = _bounds(fields)
    return NodeSettings(
        NodeSection(
            name=fields["nodeName"],
            zone=fields["zone"],
            region=fields.get("region") or "default",
            callers=read_address(listen["outbound"]),
            local=read_address(listen["controlPlane"]),
            frames=_frames(fields),
        ),
        PeersSection(
            control=tuple(map(read_address, fields["seedNodes"])),
            frames_port=_frames(fields).port,
        ),
        releases=ReleasesSection(
            ready=read_address(listen["ready"]),
            service=fields.get("service") or "",
            # The backend server beside the node, not one of the node's own addresses.
            backend=_optional_address(fields.get("applicationAddress")),
            metrics=Address(fields["ipAddress"], METRICS_PORT),
            resend_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
            resend_slack=float(bounds.get("retryBudgetSlack", 50)),
            grace_s=float(bounds.get("gracePeriodS", 6)),
        ),
    )


def _control_settings(fields: dict) -> ControlSettings:
    section = ControlSection(
        name=fields["nodeName"],
        zone=fields["zone"],
        frames=_frames(fields),
        data_folder=fields["dataDirectory"],
        releases=read_address(fields["listenAddresses"]["controlPlane"]),
        # True only at the first start of the whole system, on empty disks.
        found=bool(fields.get("bootstrap")),
        # A core machine that is gone for good is followed by one at another address.
        retire_replaced=True,
        peers=tuple(map(read_address, fields["seedNodes"])),
        frames_port=_frames(fields).port,
    )
    return ControlSettings(with_frames_port(section))


def _frames(fields: dict) -> Address:
    """Return where this process takes frames: the first of the internal ports."""
    return Address(fields["ipAddress"], int(fields["internalPortRange"][0]))


def _optional_address(text: object) -> Address | None:
    return read_address(text) if text else None


def _bounds(fields: dict) -> dict[str, str]:
    """Read bounds, a table or a list of texts `name=value`."""
    bounds = fields.get("bounds") or {}
    if isinstance(bounds, dict):
        return bounds
    return dict(text.split("=", 1) for text in bounds)
