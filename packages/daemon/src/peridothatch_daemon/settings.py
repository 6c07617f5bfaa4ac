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
    """An address to listen on."""

    host: pydantic.IPvAnyAddress = pydantic.Field(description="IP address to listen on.")
    port: Port = pydantic.Field(description="Port; 0 selects a free one.")


class Endpoint(Model):
    """An address to connect to."""

    host: pydantic.IPvAnyAddress = pydantic.Field(description="IP address to connect to.")
    port: Annotated[int, pydantic.Field(ge=1, le=65535, description="Port to connect to.")]


class Tls(Model):
    """Certificate files in PEM format; the authority signs the certificates of both peers."""

    certificate_path: pathlib.Path = pydantic.Field(
        strict=False, description="Certificate that this process presents."
    )
    key_path: pathlib.Path = pydantic.Field(
        strict=False, description="Private key of the certificate."
    )
    authority_path: pathlib.Path = pydantic.Field(
        strict=False,
        description="Certificate of the authority that must have signed the peer's certificate.",
    )


class Store(Model):
    """Address and region of the table service."""

    url: pydantic.HttpUrl = pydantic.Field(description="Base URL of the table service.")
    region: Name = pydantic.Field(description="Region of the table service.")


class DataCentre(Model):
    """A data centre of this installation."""

    name: Name = pydantic.Field(description="Name of the data centre.")
    region: Name = pydantic.Field(description="Region of the data centre.")


class Bootstrap(Model):
    """The first operator, written by the first entry if the store holds no configuration."""

    operator_name: Name = pydantic.Field("operator", description="Name of the first operator.")
    operator_token_sha256: Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)] = pydantic.Field(
        description="SHA-256 of the operator's bearer token, in hexadecimal; used only while the "
        "store holds no operator."
    )


class Log(Model):
    """Destination of the structured log."""

    path: str = pydantic.Field("-", description="File to append to; `-` is standard output.")


class Process(Model):
    """Settings that entries and agents share."""

    id: Name = pydantic.Field(description="Name of this process; unique among running processes.")
    data_centre: Name = pydantic.Field(description="Data centre of the process.")
    region: Name = pydantic.Field(description="Region of that data centre.")
    log: Log = pydantic.Field(Log(), description="The structured log.")
    link_tls: Tls | None = pydantic.Field(
        None,
        description="TLS of links between entries and agents; without it they are unencrypted.",
    )
    drain_timeout_seconds: Annotated[float, pydantic.Field(gt=0, le=600)] = pydantic.Field(
        30.0, description="How long a graceful stop waits for work in flight."
    )


class Entry(Process):
    """Settings of an entry."""

    role: Literal["entry"] = pydantic.Field(description="The kind of process.")
    http: Listener = pydantic.Field(description="Address for callers and operators.")
    link: Listener = pydantic.Field(description="Address for agents and other entries.")
    advertised_link_port: Port | None = pydantic.Field(
        None,
        description="Port that agents and other entries connect to instead of the port of `link`, "
        "for a forwarder in front of this process.",
    )
    http_tls: Tls | None = pydantic.Field(
        None,
        description="TLS for callers and operators; client certificates are not required.",
    )
    store: Store = pydantic.Field(description="The table service.")
    data_centres: Annotated[list[DataCentre], pydantic.Field(min_length=1, max_length=64)] = (
        pydantic.Field(
            description="All data centres of the installation, including that of this process; "
            "those missing from the store are created."
        )
    )
    bootstrap: Bootstrap | None = pydantic.Field(
        None, description="First operator; ignored once the store holds an operator."
    )
    cross_region_bytes_per_second: Annotated[int, pydantic.Field(ge=0)] = pydantic.Field(
        500_000,
        description="Maximum rate at which this entry sends request bodies to other regions; the "
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
    """The worker of an agent."""

    id: Name = pydantic.Field(description="Name of the worker.")
    url: pydantic.HttpUrl = pydantic.Field(description="Base URL of the worker.")
    rack: Name = pydantic.Field(description="Rack of the worker.")


class BackendServer(Model):
    """The backend server of an agent."""

    url: pydantic.HttpUrl = pydantic.Field(description="Base URL of the backend server.")


class Agent(Process):
    """Settings of an agent, which serves one worker or one backend server."""

    role: Literal["agent"] = pydantic.Field(description="The kind of process.")
    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1, max_length=64)] = (
        pydantic.Field(
            description="Entries to connect to first; they report the addresses of the others."
        )
    )
    debug: Listener = pydantic.Field(
        description="Address that serves `/debug/state` and `/metrics` without a token; only "
        "operators should be able to reach it."
    )
    worker: Worker | None = pydantic.Field(
        None, description="Worker of the agent; set either this or `backend_server`."
    )
    backend_server: BackendServer | None = pydantic.Field(
        None, description="Backend server of the agent; set either this or `worker`."
    )

    @pydantic.model_validator(mode="after")
    def _has_one_server(self) -> Agent:
        if (self.worker is None) == (self.backend_server is None):
            raise ValueError("expected exactly one of worker and backend_server")
        return self


Settings = Annotated[Entry | Agent, pydantic.Field(discriminator="role")]


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys."""


def _unique_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen: set[Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if not isinstance(key, str):
            raise yaml.constructor.ConstructorError(
                None, None, f"key {key!r}; expected a string", key_node.start_mark
            )
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None, None, f"key {key!r} is given twice", key_node.start_mark
            )
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


_UniqueKeyLoader.add_constructor("tag:yaml.org,2002:map", _unique_mapping)


def load(path: pathlib.Path) -> result.Result[Entry | Agent, list[str]]:
    """Read and validate a settings file.

    Returns
    -------
    result.Ok or result.Err
        The settings, or one line per error that names file, field, value and what was expected.
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
    # A deeply nested file raises RecursionError; it is reported as invalid input.
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        reason = re.sub(r"\s+", " ", str(error))
        return result.Err([f"{path}: not valid YAML: {reason}"])
    try:
        return result.Ok(pydantic.TypeAdapter(Settings).validate_python(data))
    except pydantic.ValidationError as error:
        return result.Err([_describe(path, item) for item in error.errors()])


def _describe(path: pathlib.Path, error: Any) -> str:
    # The location starts with the tag of the discriminated union, which is not a field.
    location = [str(part) for part in error["loc"] if part not in ("entry", "agent")]
    field = ".".join(location) or "(file)"
    value = repr(error["input"])
    if len(value) > 80:
        value = value[:77] + "..."
    return f"{path}: {field}: {value}: {error['msg']}"
