"""Reports of attempts to the parts of a node that learn from them."""

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.endpoints import part_quarantine
from fireflyspur.gateway.endpoints import quarantine
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.requests import request_dependencies
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.observability import logs

# Statuses with which an endpoint refuses a request because it wants none now.
_BUSY_STATUSES = (429, 503)
# Lowest status with which an endpoint reports an error of its own.
SERVER_ERROR = 500

_log = logs.log_for("requests")


class AttemptReporter:
    """Logs and reports how the attempts of one request ended.

    :param deps: objects that all requests share
    :param plan: the request
    """

    def __init__(
        self,
        deps: request_dependencies.RequestDependencies,
        plan: request_plan.RequestPlan,
    ) -> None:
        self._deps = deps
        self._attempt_id = plan.info.attempt_id
        self._service = plan.service
        self._target_s = plan.route.target_latency_s
        self._fingerprint = quarantine.fingerprint_of(
            plan.request, plan.account_name or plan.info.api_key or ""
        )
        self._parts = part_quarantine.part_ids(
            plan.service.name, plan.info.shared_parts
        )

    def find_crash_reason(self) -> str | None:
        """Return why the request may not be sent to an endpoint, or None."""
        if self._deps.crashes.is_quarantined(self._fingerprint):
            return "the request crashed several endpoints"
        if self._deps.parts.is_quarantined(self._parts):
            return "a part of the prompt crashed several endpoints"
        return None

    def report_notice(
        self,
        endpoint: endpoints.Endpoint,
        head: messages.ResponseHead,
        info: messages.ResponseInfo,
    ) -> None:
        """Report what an endpoint says of itself in a response.

        :param endpoint: the endpoint that was asked
        """
        if info.instance not in (None, endpoint.instance):
            return
        is_own_refusal = info.is_not_run and info.attempt_id is not None
        is_busy = is_own_refusal and head.status in _BUSY_STATUSES
        self._deps.notices.record(endpoint, info.notice, is_busy)
        if is_busy:
            self._deps.placer.record_full(self._service, endpoint.instance)

    def report_handed_over(
        self, head: messages.ResponseHead, instance: str
    ) -> None:
        """Report what an endpoint says in a response by way of another node.

        :param instance: the endpoint
        """
        endpoint = self._deps.directory.find_named(instance)
        if endpoint is not None:
            info = self._deps.codec.decode_response(head)
            self.report_notice(endpoint, head, info)

    def report_answer(
        self, placement: placements.Placement, elapsed_s: float
    ) -> None:
        """Report that a successful response has begun.

        The answer of a group says little of any one of its members.

        :param elapsed_s: time since the attempt started
        """
        if placement.helpers:
            return
        expected = endpoint_pace.Expectation(
            placement.first_event_s or self._target_s, placement.factor
        )
        self._deps.paces.record_answer(placement.primary, elapsed_s, expected)

    def report_delivered(
        self, placement: placements.Placement, is_confirmed: bool
    ) -> None:
        """Report a response that the caller got.

        :param is_confirmed: whether it is certain that it was complete
        """
        self._deps.directory.record_success(placement.primary.instance)
        if is_confirmed:
            self._deps.crashes.record_success(self._fingerprint)
            self._deps.parts.record_success(self._parts)

    def report_not_sent(self, result: attempt_result.NotSent) -> None:
        """Report an attempt that was not sent."""
        _log.info(
            "Request not sent",
            request=self._attempt_id,
            instance=result.instance,
            reason=result.reason,
        )
        if result.is_unreachable:
            self._deps.monitor.mark_unreachable(result.instance)

    def report_not_run(
        self,
        placement: placements.Placement,
        result: attempt_result.NotRun,
    ) -> str | None:
        """Report the endpoint that made the attempt fail.

        :returns: instance of the other group member that made it fail, or
            None
        """
        instance = placement.primary.instance
        failed_member = None
        if result.failed_member is not None:
            failed_member = self._deps.directory.find_named(
                result.failed_member
            )
        _log.info(
            "Endpoint did not run request",
            request=self._attempt_id,
            instance=instance,
            reason=result.reason,
            blamed=result.failed_member,
        )
        if failed_member is not None and failed_member.instance != instance:
            self._deps.monitor.mark_failed(
                failed_member.instance, result.reason
            )
            return failed_member.instance
        if result.is_replaced:
            self._deps.monitor.mark_left(instance, result.reason)
        elif result.is_fault:
            self._deps.monitor.report_error(placement.primary)
            self._deps.directory.record_fault(instance, result.reason)
            self._deps.paces.record_failure(placement.primary)
        elif result.is_busy:
            self._deps.paces.record_refusal(placement.primary)
        return None

    def report_broken(
        self,
        placement: placements.Placement,
        result: attempt_result.Broken,
        sent_at_s: float,
        last_event_id: str | None,
        *,
        was_unread: bool,
    ) -> None:
        """Report a response that broke off, and whether it was a crash.

        :param sent_at_s: clock time of the start of the attempt
        :param last_event_id: id of the last event that the caller got, if any
        :param was_unread: whether the endpoint may have cut it off because the
            caller did not read
        """
        instance = placement.primary.instance
        _log.warning(
            "Answer of endpoint broken",
            request=self._attempt_id,
            instance=instance,
            reason=result.reason,
            event=last_event_id,
            was_unread=was_unread,
        )
        if result.failed_member is not None or was_unread:
            return
        self._deps.monitor.report_error(placement.primary)
        self._deps.directory.record_fault(instance, result.reason)
        self._deps.paces.record_failure(placement.primary)
        if result.is_connection_lost:
            crash = part_quarantine.PartCrash(
                self._parts,
                instance,
                sent_at_s=sent_at_s,
                broke_at_s=clock.now_s(),
            )
            self._deps.monitor.check_crash(
                placement.primary, lambda: self._record_crash(crash)
            )

    def report_rejected(
        self,
        placement: placements.Placement,
        result: attempt_result.Rejected,
    ) -> None:
        """Report an error response, if it is an error of the endpoint."""
        if result.head.status >= SERVER_ERROR:
            self._deps.monitor.report_error(placement.primary)
            self._deps.paces.record_failure(placement.primary)

    def report_silent(
        self, silent: placements.Placement, other: placements.Placement
    ) -> None:
        """Report that another endpoint is tried beside a silent one."""
        _log.info(
            "Other endpoint tried beside a silent one",
            request=self._attempt_id,
            instance=silent.primary.instance,
            other=other.primary.instance,
        )
        self._deps.paces.record_failure(silent.primary)

    def report_overtaken(self, placement: placements.Placement) -> None:
        """Report an attempt that was not needed, as the silent one goes on."""
        _log.info(
            "Silent endpoint goes on",
            request=self._attempt_id,
            other=placement.primary.instance,
        )

    def _record_crash(self, crash: part_quarantine.PartCrash) -> None:
        self._deps.crashes.record_crash(
            quarantine.RequestCrash(
                self._fingerprint,
                crash.instance,
                crash.sent_at_s,
                crash.broke_at_s,
            )
        )
        self._deps.parts.record_crash(crash)
