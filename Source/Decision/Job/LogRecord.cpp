#include "Decision/Job/LogRecord.h"

#include "Base/NameTable.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumTextBytes = 1 << 20;
    constexpr std::int64_t maximumInteger = std::numeric_limits<std::int64_t>::max();

    constexpr std::array attemptEndTable {
        NamedValue { AttemptEnd::Completed, "completed" },
        NamedValue { AttemptEnd::Failed, "failed" },
        NamedValue { AttemptEnd::Evicted, "evicted" },
        NamedValue { AttemptEnd::Lost, "lost" },
    };

    Json encodeResources(const Wire::Resources& resources)
    {
        return { { "milli_processors", resources.milliProcessors }, { "memory_mb", resources.memoryMegabytes },
            { "accelerators", resources.accelerators } };
    }

    Wire::Resources decodeResources(JsonReader& outer, const std::string& key)
    {
        const Json object = outer.optionalObject(key);
        Wire::Resources resources;
        if (!object.is_object())
            return resources;
        JsonReader reader(object, outer.pathOf(key));
        resources.milliProcessors = reader.requiredInteger("milli_processors", 0, maximumInteger);
        resources.memoryMegabytes = reader.requiredInteger("memory_mb", 0, maximumInteger);
        resources.accelerators = static_cast<std::int32_t>(reader.requiredInteger("accelerators", 0, 1'000'000));
        outer.addErrors(reader.errors());
        return resources;
    }

    LogRecord decodeJob(JsonReader& reader)
    {
        JobRecord record;
        record.jobId = reader.requiredString("job", maximumTextBytes);
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.team = reader.requiredString("team", maximumTextBytes);
        record.priority = static_cast<int>(reader.requiredInteger("priority", 0, 9));
        record.demand = decodeResources(reader, "demand");
        record.declaredRunMilliseconds = reader.requiredInteger("declared_ms", 0, maximumInteger);
        record.payload = reader.optionalString("payload", maximumTextBytes, "");
        return record;
    }

    LogRecord decodeLeader(JsonReader& reader)
    {
        LeaderRecord record;
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.term = reader.requiredInteger("term", 1, maximumInteger);
        record.entryId = reader.requiredString("entry", maximumTextBytes);
        record.incarnation = reader.requiredInteger("incarnation", 0, maximumInteger);
        return record;
    }

    LogRecord decodeHeartbeat(JsonReader& reader)
    {
        LeaderHeartbeatRecord record;
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.term = reader.requiredInteger("term", 1, maximumInteger);
        record.number = reader.requiredInteger("number", 0, maximumInteger);
        return record;
    }

    LogRecord decodeEntryStarted(JsonReader& reader)
    {
        EntryStartedRecord record;
        record.entryId = reader.requiredString("entry", maximumTextBytes);
        record.incarnation = reader.requiredInteger("incarnation", 0, maximumInteger);
        return record;
    }

    LogRecord decodeAttempt(JsonReader& reader)
    {
        AttemptRecord record;
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.term = reader.requiredInteger("term", 1, maximumInteger);
        record.jobId = reader.requiredString("job", maximumTextBytes);
        record.attempt = static_cast<int>(reader.requiredInteger("attempt", 1, 1'000'000));
        record.sideId = reader.requiredString("side", maximumTextBytes);
        return record;
    }

    LogRecord decodeEnded(JsonReader& reader)
    {
        EndedRecord record;
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.term = reader.requiredInteger("term", 1, maximumInteger);
        record.jobId = reader.requiredString("job", maximumTextBytes);
        record.attempt = static_cast<int>(reader.requiredInteger("attempt", 1, 1'000'000));
        const std::string end = reader.requiredString("end", maximumTextBytes);
        const AttemptEnd* known = valueIn(attemptEndTable, end);
        if (known)
            record.end = *known;
        else
            reader.addError(ErrorCode::InvalidField, "end", end + " is not a known attempt end");
        record.result = reader.optionalString("result", maximumTextBytes, "");
        record.checkpoint = reader.optionalString("checkpoint", maximumTextBytes, "");
        return record;
    }

    LogRecord decodeCancel(JsonReader& reader)
    {
        CancelRecord record;
        record.cell = reader.requiredString("cell", maximumTextBytes);
        record.jobId = reader.requiredString("job", maximumTextBytes);
        return record;
    }

    LogRecord decodeBundle(JsonReader& reader)
    {
        return BundleRecord { reader.requiredString("envelope", maximumTextBytes) };
    }

    struct RecordKind {
        std::string_view name;
        LogRecord (*decode)(JsonReader&);
    };
    constexpr std::array recordKinds {
        RecordKind { "job", decodeJob },
        RecordKind { "leader", decodeLeader },
        RecordKind { "leader_heartbeat", decodeHeartbeat },
        RecordKind { "entry_started", decodeEntryStarted },
        RecordKind { "attempt", decodeAttempt },
        RecordKind { "ended", decodeEnded },
        RecordKind { "cancel", decodeCancel },
        RecordKind { "bundle", decodeBundle },
    };

    Json toJson(const JobRecord& record)
    {
        return { { "type", "job" }, { "job", record.jobId }, { "cell", record.cell }, { "team", record.team },
            { "priority", record.priority }, { "demand", encodeResources(record.demand) },
            { "declared_ms", record.declaredRunMilliseconds }, { "payload", record.payload } };
    }
    Json toJson(const LeaderRecord& record)
    {
        return { { "type", "leader" }, { "cell", record.cell }, { "term", record.term }, { "entry", record.entryId },
            { "incarnation", record.incarnation } };
    }
    Json toJson(const LeaderHeartbeatRecord& record)
    {
        return { { "type", "leader_heartbeat" }, { "cell", record.cell }, { "term", record.term },
            { "number", record.number } };
    }
    Json toJson(const EntryStartedRecord& record)
    {
        return { { "type", "entry_started" }, { "entry", record.entryId }, { "incarnation", record.incarnation } };
    }
    Json toJson(const AttemptRecord& record)
    {
        return { { "type", "attempt" }, { "cell", record.cell }, { "term", record.term }, { "job", record.jobId },
            { "attempt", record.attempt }, { "side", record.sideId } };
    }
    Json toJson(const EndedRecord& record)
    {
        return { { "type", "ended" }, { "cell", record.cell }, { "term", record.term }, { "job", record.jobId },
            { "attempt", record.attempt }, { "end", name(record.end) }, { "result", record.result },
            { "checkpoint", record.checkpoint } };
    }
    Json toJson(const CancelRecord& record)
    {
        return { { "type", "cancel" }, { "cell", record.cell }, { "job", record.jobId } };
    }
    Json toJson(const BundleRecord& record) { return { { "type", "bundle" }, { "envelope", record.envelope } }; }

} // namespace

std::string_view name(AttemptEnd end) { return nameIn(attemptEndTable, end); }

std::string encodeRecord(const LogRecord& record)
{
    return std::visit([](const auto& record) { return toJson(record); }, record).dump();
}

Result<LogRecord> decodeRecord(const std::string& text)
{
    const Result<Json> parsed = parseJsonObject(text);
    if (!isOk(parsed))
        return errorOf(parsed);
    JsonReader reader(valueOf(parsed), "");
    const std::string type = reader.requiredString("type", maximumTextBytes);
    for (const RecordKind& kind : recordKinds) {
        if (kind.name != type)
            continue;
        LogRecord record = kind.decode(reader);
        if (!reader.errors().empty())
            return joinErrors(reader.errors());
        return record;
    }
    return Error { ErrorCode::InvalidField, "/type: " + type + " is not a known record type" };
}

} // namespace Plantainpier
