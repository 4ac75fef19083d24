"""Responses of the operators' interface: JSON, YAML and typed errors."""

from http import HTTPStatus
from typing import Any

from bilberry_core.error import BilberryError
from bilberry_core.http import Headers, HttpResponse
from msgspec.json import encode as encode_json
from msgspec.json import format as format_json

_JSON_HEADERS = ((b'content-type', b'application/json; charset=utf-8'),)
_YAML_HEADERS = ((b'content-type', b'application/yaml; charset=utf-8'),)


class RefusedError(BilberryError):
    """A refused request, with its HTTP status and a stable error code.

    `code`
        A fixed name of the cause, which scripts can match.
    `extra`
        Further members of the `error` object in the response.
    """

    def __init__(
        self,
        status: HTTPStatus,
        code: str,
        detail: str,
        **extra: Any,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.extra = extra

    def answer(self) -> HttpResponse:
        """Returns the response that reports the refusal."""
        described = {'code': self.code, 'detail': str(self), **self.extra}
        headers = _CHALLENGES.get(self.status, ())
        return build_json_response({'error': described}, self.status, headers)


def build_json_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: Headers = (),
) -> HttpResponse:
    """Returns a response with a JSON body."""
    body = format_json(encode_json(document), indent=2)
    return HttpResponse(status, (*_JSON_HEADERS, *headers), body + b'\n')


def build_yaml_response(text: str, headers: Headers = ()) -> HttpResponse:
    """Returns a response with a YAML body."""
    return HttpResponse(
        HTTPStatus.OK, (*_YAML_HEADERS, *headers), text.encode()
    )


def build_etag(version: int) -> Headers:
    """Returns the `ETag` header of a configuration version."""
    return ((b'etag', f'"{version}"'.encode()),)


_CHALLENGES: dict[HTTPStatus, Headers] = {
    HTTPStatus.UNAUTHORIZED: ((b'www-authenticate', b'Bearer'),),
}
