// Interface that decodes the documents that operators and executors publish in the store, in the platform's own format.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/executor_registry.h"
#include "jobs/fleet_policy.h"

namespace wigeon {

// Topics and key under which the documents are stored.
struct document_topics {
    std::string policy_topic;
    std::string policy_key;
    std::string executors_topic; // One key per executor.
    // In the policy topic: the key of an availability zone's evacuation begins so and ends with the zone's name.
    std::string evacuation_key_prefix;
};

class document_decoder {
public:
    virtual ~document_decoder() = default;

    // Return nullopt when the document can't be decoded, with the reason in `problem`.
    virtual std::optional<fleet_policy> decode_policy(std::string_view document, std::string& problem) const = 0;
    virtual std::optional<executor_entry> decode_executor(std::string_view id, std::string_view document,
                                                          std::string& problem) const = 0;
};

} // namespace wigeon
