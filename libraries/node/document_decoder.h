// Documents that operators and executors publish in the store, in a form of the platform's own.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/executor_registry.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

// Where the documents stand.
struct document_topics {
    std::string policy_topic;
    std::string policy_key;
    std::string executors_topic; // One key an executor.
};

class document_decoder {
public:
    virtual ~document_decoder() = default;

    // Nothing when the document can't be read, with the reason in `problem`.
    virtual std::optional<fleet_policy> decode_policy(std::string_view document, std::string& problem) const = 0;
    virtual std::optional<executor_entry> decode_executor(std::string_view id, std::string_view document,
                                                          std::string& problem) const = 0;
};

} // namespace wigeon
