/// The router chooses only sides that can run the request now, and prefers less loaded sides and the own zone.
#include "Decision/Request/Router.h"
#include "Support/VirtualTime.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(prefersTheLessLoadedSide);
    CPPUNIT_TEST(prefersTheOwnZoneUntilItsLoadCostsMore);
    CPPUNIT_TEST(skipsSidesThatCannotRunTheRequest);
    CPPUNIT_TEST(ignoresAnOldIncarnation);
    CPPUNIT_TEST_SUITE_END();

    Membership m_membership { MembershipTiming {}, at(0) };

public:
    void setUp() override { m_membership = Membership(MembershipTiming {}, at(0)); }

private:
    SideView& addSide(const std::string& id, const std::string& zone, int inFlight)
    {
        Wire::Announcement message;
        message.sideId = id;
        message.zone = zone;
        message.incarnation = 1;
        message.targetPresent = true;
        message.load.inFlight = inFlight;
        message.load.slots = 8;
        message.load.latencyMicroseconds = 10'000;
        m_membership.onAnnouncement(at(0), 1, message);
        SideView& side = *m_membership.find(id);
        side.dataLinkMonitor.emplace(LinkTiming {}, at(0));
        side.dataLinkMonitor->onUp(at(0));
        return side;
    }

    std::string choose(const std::set<std::string>& excluded = {}, long long now = 1)
    {
        const Router router(RouterSettings {}, "here", [](std::size_t) { return std::size_t(0); });
        const std::optional<RouteChoice> choice = router.chooseSide(m_membership, at(now), excluded);
        return choice ? choice->sideId : "";
    }

    void prefersTheLessLoadedSide()
    {
        addSide("a", "here", 7);
        addSide("b", "here", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), choose());
    }

    void prefersTheOwnZoneUntilItsLoadCostsMore()
    {
        addSide("far", "there", 0);
        SideView& near = addSide("near", "here", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose());
        near.othersInFlight = 8;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), choose());
    }

    void skipsSidesThatCannotRunTheRequest()
    {
        addSide("down", "here", 0).dataLinkMonitor.reset();
        addSide("leaving", "here", 0).leaving = true;
        addSide("empty", "here", 0).targetPresent = false;
        addSide("avoided", "here", 0).avoidUntil = at(1000);
        addSide("able", "there", 8);
        CPPUNIT_ASSERT_EQUAL(std::string("able"), choose());
        CPPUNIT_ASSERT_EQUAL(std::string(""), choose({ "able" }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no request is routed to silent sides", std::string(""), choose({}, 10'000));
    }

    void ignoresAnOldIncarnation()
    {
        addSide("a", "here", 0).incarnation = 7;
        Wire::Announcement stale;
        stale.sideId = "a";
        stale.incarnation = 6;
        CPPUNIT_ASSERT(m_membership.onAnnouncement(at(1), 1, stale) == AnnouncementEffect::Stale);
        CPPUNIT_ASSERT(m_membership.find("a")->targetPresent);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);
