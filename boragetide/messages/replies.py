"""Which messages may answer which requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeAlias

from boragetide.messages.backend_servers import (
    AnnounceBackendServer,
    BackendServerList,
    DescribePool,
    LeaseGranted,
    LeaseRefused,
    ListBackendServers,
    PoolDescription,
)
from boragetide.messages.claims import (
    AcceptorState,
    ClaimAndSubmit,
    ClaimReply,
    ClaimRequest,
    DescribeAcceptor,
    LookUpClaim,
    SaveClaims,
)
from boragetide.messages.common import Drain, DrainState, Request
from boragetide.messages.configuration import (
    CommandOutcome,
    ConfigurationChanged,
    FetchConfiguration,
    History,
    ListHistory,
    PackedProposal,
    Propose,
    ReadZone,
    ZoneRead,
)
from boragetide.messages.directory import (
    AdmissionReply,
    AdmitSubmission,
    ConfigurationRead,
    FindLeader,
    LeaderFound,
    ReadConfiguration,
)
from boragetide.messages.dispatcher import RemoveServer, ReportServer, ServerReported
from boragetide.messages.durable import (
    CancelDurableJob,
    CountWaiting,
    DispatcherReply,
    ExplainDurableJob,
    LookUpDurableJob,
    SubmitDurableJob,
)
from boragetide.messages.instances import (
    ChoosePlacer,
    Flush,
    Flushed,
    InstanceList,
    ListInstances,
    PlacerChosen,
)
from boragetide.messages.jobs import (
    CancelJob,
    JobAnswer,
    JobState,
    LookUpJob,
    SubmitJob,
)

_ReplyTypes: TypeAlias = tuple[type, ...]

REPLY_TYPES_BY_REQUEST: Mapping[type[Request], _ReplyTypes] = {
    AdmitSubmission: (AdmissionReply,),
    AnnounceBackendServer: (LeaseGranted, LeaseRefused),
    CancelDurableJob: (DispatcherReply,),
    CancelJob: (JobState,),
    ChoosePlacer: (PlacerChosen,),
    ClaimAndSubmit: (JobAnswer, ClaimReply),
    ClaimRequest: (ClaimReply,),
    CountWaiting: (DispatcherReply,),
    DescribeAcceptor: (AcceptorState,),
    DescribePool: (PoolDescription,),
    Drain: (DrainState,),
    ExplainDurableJob: (DispatcherReply,),
    FetchConfiguration: (ConfigurationChanged,),
    FindLeader: (LeaderFound,),
    Flush: (Flushed,),
    ListBackendServers: (BackendServerList,),
    ListHistory: (History,),
    ListInstances: (InstanceList,),
    LookUpClaim: (ClaimReply,),
    LookUpDurableJob: (DispatcherReply,),
    LookUpJob: (JobState,),
    PackedProposal: (CommandOutcome,),
    Propose: (CommandOutcome,),
    ReadConfiguration: (ConfigurationRead,),
    ReadZone: (ZoneRead,),
    RemoveServer: (ServerReported,),
    ReportServer: (ServerReported,),
    SaveClaims: (DrainState,),
    SubmitDurableJob: (DispatcherReply,),
    SubmitJob: (JobAnswer,),
}


def can_answer(message: Any, request: Request) -> bool:
    """Return whether a message is of a type that may answer a request."""
    return isinstance(message, REPLY_TYPES_BY_REQUEST[type(request)])
