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

    host: pydantic.IPvAnyAddress
    port: Port


class Endpoint(Model):
    """An address to dial."""

    host: pydantic.IPvAnyAddress
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]


class Tls(Model):
    """Certificate files in PEM form; the authority signs both ends."""

    certificate_path: pathlib.Path = pydantic.Field(strict=False)
    key_path: pathlib.Path = pydantic.Field(strict=False)
    authority_path: pathlib.Path = pydantic.Field(strict=False)


class Store(Model):
    """The table service and the region that it is in."""

    url: pydantic.HttpUrl
    region: Name


class DataCentre(Model):
    """A data centre that this installation has."""

    name: Name
    region: Name


class Bootstrap(Model):
    """What the first entry writes when the store holds no configuration."""

    operator_name: Name = "operator"
    operator_token_sha256: Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)]


class Log(Model):
    """Where the structured log goes; ``-`` is standard output."""

    path: str = "-"


class Process(Model):
    """What every process knows of itself."""

    id: Name
    data_centre: Name
    region: Name
    log: Log = Log()
    link_tls: Tls | None = None
    drain_timeout_seconds: Annotated[float, pydantic.Field(gt=0, le=600)] = 30.0


class Entry(Process):
    """Settings of an entry."""

    role: Literal["entry"]
    http: Listener
    link: Listener
    advertised_link_port: Port | None = None
    http_tls: Tls | None = None
    store: Store
    data_centres: Annotated[list[DataCentre], pydantic.Field(min_length=1, max_length=64)]
    bootstrap: Bootstrap | None = None
    cross_region_bytes_per_second: Annotated[int, pydantic.Field(ge=0)] = 500_000

    @pydantic.model_validator(mode="after")
    def _data_centre_is_listed(self) -> Entry:
        listed = {item.name: item.region for item in self.data_centres}
        if listed.get(self.data_centre) != self.region:
            raise ValueError(
                f"data_centre {self.data_centre!r} of region {self.region!r} is not in "
                "data_centres; expected an entry with this name and region"
            )
        return self


class Worker(Model):
    """The worker beside an agent."""

    id: Name
    url: pydantic.HttpUrl
    rack: Name


class BackendServer(Model):
    """The backend server beside an agent."""

    url: pydantic.HttpUrl


class Agent(Process):
    """Settings of an agent; it stands beside one worker or one backend server."""

    role: Literal["agent"]
    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1, max_length=64)]
    debug: Listener
    worker: Worker | None = None
    backend_server: BackendServer | None = None

    @pydantic.model_validator(mode="after")
    def _stands_beside_one(self) -> Agent:
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
