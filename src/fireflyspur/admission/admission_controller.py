"""Admission of prompts that can be served before their deadline."""

import time

from fireflyspur.admission import exceptions
from fireflyspur.admission import output_estimator
from fireflyspur.engines import prompt_request
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import router as routers
from fireflyspur.routing import ttft_predictor

_MIDDLE_PRIORITY = 5
_LOWEST_PRIORITY = 9
# A long prompt may wait for this fraction of its own prefill time: its first
# token is due within 1.3 times the time that it takes on an idle fleet.
_LONG_WAIT_RATIO = 0.3
# Factor on the predicted time, which must fit before the deadline: an admitted
# request that expires wastes engine time and the caller's time.
_SAFETY_RATIO = 1.1


class AdmissionController:
    """Refuses prompts that the fleet cannot serve before their deadline.

    :param catalog: the current records
    :param router: predicts the waiting time and the duration
    """

    def __init__(
        self, catalog: catalogs.Catalog, router: routers.Router
    ) -> None:
        self._catalog = catalog
        self._router = router
        self._estimator = output_estimator.OutputEstimator()

    @property
    def estimator(self) -> output_estimator.OutputEstimator:
        """Estimator of the lengths of responses."""
        return self._estimator

    def check(
        self, request: prompt_request.PromptRequest
    ) -> ttft_predictor.Prediction | None:
        """Admit a prompt or refuse it.

        :param request: the prompt
        :returns: the prediction, or None if admission control is disabled
        :raises InfeasibleError: if an idle engine would be too slow
        :raises OverloadedError: if the prompt would wait too long
        :raises NoEngineError: if no engine accepts the prompt now
        """
        if not self._catalog.policy().admission:
            return None
        route = routers.RouteRequest(
            request.model,
            request.adapter,
            request.prompt,
            request.prompt_tokens,
            self._estimator.estimate(request.account, request.max_tokens),
            request.priority,
            request.prefix_digests,
        )
        prediction = self._router.predict_best(
            route, self._router.workload(route)
        )
        remaining_s = request.deadline - time.monotonic()
        self._check_deadline(prediction, remaining_s)
        self._check_queue(prediction, request)
        return prediction

    def _check_deadline(
        self, prediction: ttft_predictor.Prediction, remaining_s: float
    ) -> None:
        idle_engine_s = prediction.prefill_s + prediction.decode_s
        if idle_engine_s > remaining_s:
            raise exceptions.InfeasibleError(
                f"the prompt needs about {idle_engine_s:.1f} s, but its"
                f" deadline is in {remaining_s:.1f} s"
            )
        required_s = prediction.total_s * _SAFETY_RATIO
        if prediction.queue_s and required_s > remaining_s:
            raise exceptions.OverloadedError(
                f"the prompt would take {required_s:.1f} s, but its"
                f" deadline is in {remaining_s:.1f} s",
                retry_after_s=prediction.queue_s,
            )

    def _check_queue(
        self,
        prediction: ttft_predictor.Prediction,
        request: prompt_request.PromptRequest,
    ) -> None:
        # Priority 0 may wait twice as long as priority 5, and priority 9 a
        # fifth as long, so that the least urgent prompts are refused first.
        urgency = (_LOWEST_PRIORITY + 1 - request.priority) / _MIDDLE_PRIORITY
        max_wait_s = self._catalog.policy().max_queue_s * urgency
        if self._router.is_long(request.prompt_tokens):
            max_wait_s = max(
                max_wait_s, _LONG_WAIT_RATIO * prediction.prefill_s
            )
        if prediction.queue_s > max_wait_s:
            raise exceptions.OverloadedError(
                f"the prompt would wait {prediction.queue_s:.1f} s for an"
                " engine",
                retry_after_s=prediction.queue_s - max_wait_s,
            )
