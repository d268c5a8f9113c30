// The interfaces through which a node uses external systems.

#pragma once

#include "node/advice_service.h"
#include "node/document_decoder.h"
#include "node/executor_service.h"
#include "store/record_store.h"

namespace wigeon {

struct external_services {
    record_store& store;
    executor_service& executors;
    advice_service& advisor;
    const document_decoder& decoder;
    document_topics topics;
};

} // namespace wigeon
