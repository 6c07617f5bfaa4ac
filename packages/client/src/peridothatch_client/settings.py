"""Load the address and the token from options, the environment or a YAML file."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import pydantic
import result
import yaml

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

ADDRESS_VARIABLE = "PERIDOTHATCH_ADDRESS"
TOKEN_VARIABLE = "PERIDOTHATCH_TOKEN"  # noqa: S105
FILE_VARIABLE = "PERIDOTHATCH_SETTINGS"
DEFAULT_FILE = pathlib.Path("~/.config/peridothatch.yaml")
DEFAULT_TIMEOUT_SECONDS = 30.0


class File(pydantic.BaseModel):
    """Schema of the settings file; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    address: str = ""
    token: pydantic.SecretStr = pydantic.SecretStr("")
    timeout_seconds: float = pydantic.Field(default=DEFAULT_TIMEOUT_SECONDS, gt=0.0, le=3600.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Address of an entry, credentials and timeout.

    Attributes
    ----------
    token : str
        Excluded from ``repr()``, so that it cannot appear in an error message.
    """

    address: str
    token: str = dataclasses.field(repr=False)
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS


def load(
    address: str, token: str, file: str, environment: Mapping[str, str]
) -> result.Result[Settings, str]:
    """Load the settings; options override the environment, which overrides the file."""
    file_name = file or environment.get(FILE_VARIABLE, "")
    path = pathlib.Path(file_name) if file_name else DEFAULT_FILE.expanduser()
    loaded = _read_file(path) if file_name or path.exists() else result.Ok(File())
    if isinstance(loaded, result.Err):
        return loaded
    file_settings = loaded.ok_value
    return result.Ok(
        Settings(
            base_url(address or environment.get(ADDRESS_VARIABLE, "") or file_settings.address),
            token or environment.get(TOKEN_VARIABLE, "") or file_settings.token.get_secret_value(),
            file_settings.timeout_seconds,
        )
    )


def base_url(address: str) -> str:
    """Return the address with a scheme and without a trailing slash."""
    if address and "://" not in address:
        address = f"http://{address}"
    return address.rstrip("/")


def _read_file(path: pathlib.Path) -> result.Result[File, str]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: cannot read the file: {type(error).__name__}")
    try:
        return result.Ok(File.model_validate(yaml.safe_load(text) or {}))
    except yaml.MarkedYAMLError as error:
        # Leave out the error's message: it quotes the line, which may contain the token.
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        return result.Err(f"{path}: line {line} is not valid YAML")
    except yaml.YAMLError:
        return result.Err(f"{path}: not valid YAML")
    except pydantic.ValidationError as error:
        return result.Err(_describe_error(path, error))


def _describe_error(path: pathlib.Path, error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_context=False)[0]
    field = ".".join(str(part) for part in first["loc"])
    if not field:
        return f"{path}: expected a mapping with address, token and timeout_seconds"
    if first["type"] == "extra_forbidden":
        return f"{path}: {field}: unknown key; expected address, token or timeout_seconds"
    shown = "a hidden value" if field == "token" else repr(first["input"])
    return f"{path}: {field} is {shown}; {first['msg']}"
