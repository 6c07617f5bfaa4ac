"""Settings files of entries and agents."""

from __future__ import annotations

import pathlib
import re
from typing import Annotated, Any, Literal

import pydantic
import result
import yaml

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"
MAX_FILE_BYTES = 1024 * 1024

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]


class Model(pydantic.BaseModel):
    """Base of all settings: unknown keys are errors and types are not converted."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class Listener(Model):
    """An address to listen on; port 0 takes a free one."""

    host: pydantic.IPvAnyAddress = pydantic.Field(description="IP number to listen on.")
    port: Port = pydantic.Field(description="Port; 0 takes a free one.")


class Endpoint(Model):
    """An address to dial."""

    host: pydantic.IPvAnyAddress = pydantic.Field(description="IP number to dial.")
    port: Annotated[int, pydantic.Field(ge=1, le=65535, description="Port to dial.")]


class Tls(Model):
    """Certificate files in PEM form; the authority signs both ends."""

    certificate_path: pathlib.Path = pydantic.Field(
        strict=False, description="Certificate that this process shows."
    )
    key_path: pathlib.Path = pydantic.Field(
        strict=False, description="Private key of the certificate."
    )
    authority_path: pathlib.Path = pydantic.Field(
        strict=False, description="Authority that must have signed the peer's certificate."
    )


class Store(Model):
    """The table service and the region that it is in."""

    url: pydantic.HttpUrl = pydantic.Field(description="Base address of the table service.")
    region: Name = pydantic.Field(description="Region that the table service is in.")


class DataCentre(Model):
    """A data centre that this installation has."""

    name: Name = pydantic.Field(description="Its name.")
    region: Name = pydantic.Field(description="The region that it is in.")


class Bootstrap(Model):
    """What the first entry writes when the store holds no configuration."""

    operator_name: Name = pydantic.Field("operator", description="Name of the first operator.")
    operator_token_sha256: Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)] = pydantic.Field(
        description="SHA-256 of the operator's bearer token, in hexadecimal; used only while the "
        "store holds no operator."
    )


class Log(Model):
    """Where the structured log goes; ``-`` is standard output."""

    path: str = pydantic.Field(
        "-", description="File that is appended to; `-` is standard output."
    )


class Process(Model):
    """What every process knows of itself."""

    id: Name = pydantic.Field(
        description="Name of this process; no two running processes may share one."
    )
    data_centre: Name = pydantic.Field(description="Data centre that the process is in.")
    region: Name = pydantic.Field(description="Region of that data centre.")
    log: Log = pydantic.Field(Log(), description="The structured log.")
    link_tls: Tls | None = pydantic.Field(
        None, description="TLS of connections between our processes; without it they are plain."
    )
    drain_timeout_seconds: Annotated[float, pydantic.Field(gt=0, le=600)] = pydantic.Field(
        30.0, description="How long a planned stop waits for the work in flight."
    )


class Entry(Process):
    """Settings of an entry."""

    role: Literal["entry"] = pydantic.Field(description="The kind of process.")
    http: Listener = pydantic.Field(description="Where callers and operators connect.")
    link: Listener = pydantic.Field(description="Where agents and other entries connect.")
    advertised_link_port: Port | None = pydantic.Field(
        None,
        description="Port that others are told to dial in place of the port of `link`, for a "
        "forwarder in front of this process.",
    )
    http_tls: Tls | None = pydantic.Field(
        None,
        description="TLS of callers and operators; they need no certificate of their own.",
    )
    store: Store = pydantic.Field(description="The table service.")
    data_centres: Annotated[list[DataCentre], pydantic.Field(min_length=1, max_length=64)] = (
        pydantic.Field(
            description="All data centres of the installation, that of this process included; "
            "those that the store lacks are created."
        )
    )
    bootstrap: Bootstrap | None = pydantic.Field(
        None, description="The first operator; ignored once the store holds an operator."
    )
    cross_region_bytes_per_second: Annotated[int, pydantic.Field(ge=0)] = pydantic.Field(
        500_000,
        description="Rate at which this entry sends request bodies to another region; the "
        "entries of a region share one link.",
    )

    @pydantic.model_validator(mode="after")
    def _check_data_centre_is_listed(self) -> Entry:
        listed = {item.name: item.region for item in self.data_centres}
        if listed.get(self.data_centre) != self.region:
            raise ValueError(
                f"data_centre {self.data_centre!r} of region {self.region!r} is not in "
                "data_centres; expected an entry with this name and region"
            )
        return self


class Worker(Model):
    """The worker beside an agent."""

    id: Name = pydantic.Field(description="Name of the worker.")
    url: pydantic.HttpUrl = pydantic.Field(description="Base address of the worker.")
    rack: Name = pydantic.Field(description="Rack that the worker is in.")


class BackendServer(Model):
    """The backend server beside an agent."""

    url: pydantic.HttpUrl = pydantic.Field(description="Base address of the backend server.")


class Agent(Process):
    """Settings of an agent; it stands beside one worker or one backend server."""

    role: Literal["agent"] = pydantic.Field(description="The kind of process.")
    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1, max_length=64)] = (
        pydantic.Field(description="Entries to dial first; they tell of the others.")
    )
    debug: Listener = pydantic.Field(
        description="Where `/debug/state` and `/metrics` are served, without a token; keep it on "
        "an address that only operators reach."
    )
    worker: Worker | None = pydantic.Field(
        None, description="The worker beside the agent; this or `backend_server`."
    )
    backend_server: BackendServer | None = pydantic.Field(
        None, description="The backend server beside the agent; this or `worker`."
    )

    @pydantic.model_validator(mode="after")
    def _has_one_server(self) -> Agent:
        if (self.worker is None) == (self.backend_server is None):
            raise ValueError("expected exactly one of worker and backend_server")
        return self


Settings = Annotated[Entry | Agent, pydantic.Field(discriminator="role")]


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that refuses a key given twice."""


def _unique_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen: set[Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if not isinstance(key, str):
            raise yaml.constructor.ConstructorError(
                None, None, f"key {key!r}; expected a text", key_node.start_mark
            )
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None, None, f"key {key!r} is given twice", key_node.start_mark
            )
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


_UniqueKeyLoader.add_constructor("tag:yaml.org,2002:map", _unique_mapping)


def load(path: pathlib.Path) -> result.Result[Entry | Agent, list[str]]:
    """Read and check a settings file.

    Returns
    -------
    result.Ok or result.Err
        The settings, or one line per error with file, field, value and what was expected.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        return result.Err([f"{path}: cannot be read: {error.strerror}"])
    if len(raw) > MAX_FILE_BYTES:
        return result.Err([f"{path}: {len(raw)} bytes; expected at most {MAX_FILE_BYTES}"])
    return _parse(path, raw)


def _parse(path: pathlib.Path, raw: bytes) -> result.Result[Entry | Agent, list[str]]:
    try:
        data = yaml.load(raw, Loader=_UniqueKeyLoader)
    # RecursionError: a deeply nested file is hostile input, not a fault of ours.
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        reason = re.sub(r"\s+", " ", str(error))
        return result.Err([f"{path}: not valid YAML: {reason}"])
    try:
        return result.Ok(pydantic.TypeAdapter(Settings).validate_python(data))
    except pydantic.ValidationError as error:
        return result.Err([_describe(path, item) for item in error.errors()])


def _describe(path: pathlib.Path, error: Any) -> str:
    # The first element of the location is the tag of the union.
    location = [str(part) for part in error["loc"] if part not in ("entry", "agent")]
    field = ".".join(location) or "(file)"
    value = repr(error["input"])
    if len(value) > 80:
        value = value[:77] + "..."
    return f"{path}: {field}: {value}: {error['msg']}"
