#include "Benchmark/Figure.h"
#include "Support/VirtualSystem.h"
#include "Wire/Generated/Peer.h"

#include <array>
#include <functional>
#include <iostream>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Plantainpier {

namespace {

    using apache::thrift::protocol::TCompactProtocol;
    using apache::thrift::transport::TFramedTransport;
    using apache::thrift::transport::TMemoryBuffer;

    /// TCP and IP headers of a segment that holds one message.
    constexpr double packetHeaderBytes = 52;
    /// Number of entries that a side announces itself to at the design size.
    constexpr double entriesAtDesignSize = 33;
    constexpr double announcementsPerSecond = 2;
    constexpr double idleHeartbeatsPerSecond = 1;
    constexpr double controlBytesBound = 5'000;

    /// Bytes on the wire for one call, headers included.
    double wireBytes(const std::function<void(Wire::PeerClient&)>& call)
    {
        const std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
        Wire::PeerClient client(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(buffer)));
        call(client);
        return static_cast<double>(buffer->available_read()) + packetHeaderBytes;
    }

    /// An announcement with all fields that a running side sets.
    Wire::Announcement fullAnnouncement()
    {
        Wire::Announcement message;
        message.sideId = "side-0123";
        message.address = "10.11.12.13";
        message.port = 18'501;
        message.zone = "zone-11";
        message.rack = "rack-320";
        message.incarnation = 1'796'366'244'810'827;
        message.targetPresent = true;
        message.bundleVersion = 175'200;
        message.load.inFlight = 8;
        message.load.queued = 64;
        message.load.slots = 8;
        message.load.latencyMicroseconds = 12'345;
        message.capacity = makeResources(64'000, 250'000, 8);
        message.free = message.capacity;
        message.sidesReported = 970;
        return message;
    }

    /// Control bytes per second of one idle side, in both directions, for each entry that the side announces itself to.
    double sideBytesPerEntry()
    {
        const double announcement = wireBytes([](Wire::PeerClient& client) { client.announce(fullAnnouncement()); });
        const double ack = wireBytes([](Wire::PeerClient& client) {
            Wire::AnnouncementAck message;
            message.entryId = "entry-33";
            message.bundleVersion = 175'200;
            message.sidesPresent = 970;
            client.acknowledge(message);
        });
        const double ping = wireBytes([](Wire::PeerClient& client) {
            Wire::Ping message;
            message.number = 100'000;
            client.ping(message);
        });
        return announcementsPerSecond * (announcement + ack) + idleHeartbeatsPerSecond * 2 * ping;
    }

    Figure sideControlBytesAtCurrentSize()
    {
        constexpr double currentEntries = 4;
        return { "side_control_bytes_today", sideBytesPerEntry() * currentEntries, "B/s", controlBytesBound };
    }

    Figure sideControlBytesAtDesignSize()
    {
        return { "side_control_bytes_at_33_entries", sideBytesPerEntry() * entriesAtDesignSize, "B/s",
            controlBytesBound };
    }

    Figure appendsAtPeak()
    {
        constexpr int startsPerSecond = 320;
        constexpr int lengthSeconds = 10;
        AppendQueue queue(AppendLimits {});
        int number = 0;
        for (int n = 0; n < lengthSeconds * 1000; ++n) {
            const int dueStarts = (n + 1) * startsPerSecond / 1000 - n * startsPerSecond / 1000;
            for (int count = 0; count < dueStarts; ++count)
                queue.add({ AttemptRecord { "cell", 1, "job-" + std::to_string(++number), 1, "side" } });
            if (queue.nextBatch(at(n)))
                queue.onAppendResult(at(n), AppendResult::Stored);
        }
        return { "appends_at_320_starts", static_cast<double>(queue.appendCount()) / lengthSeconds, "1/s", 100 };
    }

    /// Ratio of all dispatches to first dispatches while every target refuses every connection.
    Figure retryAmplification()
    {
        VirtualOptions options;
        options.entries = 1;
        options.sides = 11;
        options.targetsCloseConnections = true;
        VirtualSystem system(options);
        system.runFor(seconds(2));
        constexpr int requests = 5000;
        for (int n = 0; n < requests; ++n) {
            CallerRequest request;
            request.caller = "benchmark";
            request.className = "checks";
            request.idempotent = true;
            request.deadline = milliseconds(500);
            system.request(0, request);
            system.runFor(milliseconds(1));
        }
        system.runFor(seconds(2));
        const RequestTotals& totals = system.entryCore(0).requests().totals();
        const double totalDispatches = static_cast<double>(totals.dispatches);
        const double first = std::max(1.0, totalDispatches - static_cast<double>(totals.retries));
        return { "retry_amplification_all_failing", totalDispatches / first, "ratio", 1.1 };
    }

    /// Virtual time from the roll-out at one entry until the bundle is active in every process.
    Figure rollOutTime()
    {
        VirtualOptions options;
        options.entries = 4;
        options.sides = 11;
        options.bundleVersion = 0;
        VirtualSystem system(options);
        system.runFor(seconds(2));
        system.rollOut(0, makeSignedBundle(makeTestBundleContent(1)));
        const auto isActiveEverywhere = [&system, &options] {
            for (int n = 0; n < options.entries; ++n) {
                if (system.entryCore(n).bundles().version() == 0)
                    return false;
            }
            for (int n = 0; n < options.sides; ++n) {
                if (system.sideCore(n).bundles().version() == 0)
                    return false;
            }
            return true;
        };
        const Instant startedAt = system.now();
        while (!isActiveEverywhere() && system.now() - startedAt < seconds(20))
            system.runFor(milliseconds(1));
        return { "roll_out_virtual_ms", static_cast<double>(toMilliseconds(system.now() - startedAt)), "ms", 5000 };
    }

    /// Virtual time from a host's failure to the last request that it delays, with 11 sides under steady load.
    Figure failedHostTime()
    {
        VirtualOptions options;
        options.entries = 1;
        options.sides = 11;
        VirtualSystem system(options);
        system.runFor(seconds(2));
        std::map<CallerToken, Instant> sentAt;
        const Instant failedAt = system.now();
        // The host fails without closing its connections: they stay open and silent.
        system.dropTraffic(system.side(0));
        system.suspend(system.side(0), seconds(60));
        for (int n = 0; n < 3000; ++n) {
            CallerRequest request;
            request.caller = "benchmark";
            request.className = "checks";
            request.idempotent = true;
            request.deadline = milliseconds(5000);
            sentAt[system.request(0, request)] = system.now();
            system.runFor(milliseconds(2));
        }
        system.runFor(seconds(6));
        constexpr Duration slowRequestThreshold = milliseconds(100);
        Duration lastSlowRequest {};
        for (const std::pair<const CallerToken, Instant>& entry : sentAt) {
            const VirtualAnswer* answer = system.answerTo(entry.first);
            if (!answer || answer->at - entry.second > slowRequestThreshold)
                lastSlowRequest = std::max(lastSlowRequest, entry.second - failedAt);
        }
        return { "failed_host_last_slow_request_ms", static_cast<double>(toMilliseconds(lastSlowRequest)), "ms", 2000 };
    }

    /// One benchmark with the name of its figure, so that it can run alone.
    struct Benchmark {
        std::string_view name;
        Figure (*measure)();
    };
    constexpr std::array benchmarks {
        Benchmark { "side_control_bytes_today", sideControlBytesAtCurrentSize },
        Benchmark { "side_control_bytes_at_33_entries", sideControlBytesAtDesignSize },
        Benchmark { "appends_at_320_starts", appendsAtPeak },
        Benchmark { "retry_amplification_all_failing", retryAmplification },
        Benchmark { "roll_out_virtual_ms", rollOutTime },
        Benchmark { "failed_host_last_slow_request_ms", failedHostTime },
    };

} // namespace

void print(const Figure& figure)
{
    const Json json { { "name", figure.name }, { "value", figure.value }, { "unit", figure.unit },
        { "bound", figure.bound }, { "ok", figure.isOk() } };
    std::cout << json.dump() << std::endl;
}

bool runDeterministicBenchmarks(const std::string& selectedFigure)
{
    bool ok = true;
    for (const Benchmark& benchmark : benchmarks) {
        if (!selectedFigure.empty() && benchmark.name != selectedFigure)
            continue;
        const Figure figure = benchmark.measure();
        print(figure);
        ok = ok && figure.isOk();
    }
    return ok;
}

} // namespace Plantainpier
